// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Parses the command line and runs one command. */

import yargs from 'yargs';
import type {Argv} from 'yargs';
import {CommandContext} from './commandContext.js';
import type {CommonOptions, Terminal} from './commandContext.js';
import {apply} from './commands/apply.js';
import {call} from './commands/call.js';
import {deleteResource} from './commands/delete.js';
import {describe} from './commands/describe.js';
import {drain} from './commands/drain.js';
import {explain} from './commands/explain.js';
import {get} from './commands/get.js';
import {quarantineLift, quarantineList} from './commands/quarantine.js';
import {status} from './commands/status.js';
import {timeline, TIMELINE_FORMATS} from './commands/timeline.js';
import {validate} from './commands/validate.js';
import {watch} from './commands/watch.js';
import {EXIT_CODES} from './exitCodes.js';
import type {ExitCode} from './exitCodes.js';
import {OUTPUT_FORMATS} from './output.js';

/** Runs the command given by the arguments; resolves to its exit code. */
export async function run(
  args: readonly string[],
  terminal: Terminal,
): Promise<ExitCode> {
  let exitCode: ExitCode = EXIT_CODES.success;
  const runWithContext =
    <T>(command: (context: CommandContext, options: T) => Promise<ExitCode>) =>
    async (options: CommonOptions & T): Promise<void> => {
      exitCode = await command(new CommandContext(options, terminal), options);
    };
  const parser = commonOptions(yargs([...args]))
    .command(
      'apply',
      'Make resources as manifests say',
      fileOption,
      runWithContext(apply),
    )
    .command(
      'validate',
      'Check manifests',
      fileOption,
      runWithContext(validate),
    )
    .command(
      'get <kind> [name]',
      'List resources',
      resourceOptions,
      runWithContext(get),
    )
    .command(
      'describe <kind> <name>',
      'Show a resource and what belongs to it',
      resourceOptions,
      runWithContext(describe),
    )
    .command(
      'delete <kind> <name>',
      'Remove a resource',
      resourceOptions,
      runWithContext(deleteResource),
    )
    .command(
      'watch',
      'Print every change as it takes effect',
      (argv) =>
        argv.option('version', {
          type: 'number',
          describe: 'Resume after this version',
        }),
      runWithContext(watch),
    )
    .command(
      'drain <upstream>',
      'Take an upstream out of service',
      (argv) =>
        argv
          .positional('upstream', {type: 'string', demandOption: true})
          .option('undo', {type: 'boolean', default: false}),
      runWithContext(drain),
    )
    .command(
      'status',
      'Show every upstream and why it stands so',
      (argv) => argv,
      runWithContext(status),
    )
    .command(
      'quarantine',
      'Requests that end the upstreams that run them',
      (argv) =>
        argv
          .command(
            'list',
            'Show those that are kept out',
            (list) => list,
            runWithContext(quarantineList),
          )
          .command(
            'lift <digest>',
            'Let one run again, on all boxes',
            (lift) =>
              lift.positional('digest', {type: 'string', demandOption: true}),
            runWithContext(quarantineLift),
          )
          .demandCommand(1, 'Specify list or lift.'),
    )
    .command(
      'timeline',
      'Show events of all nodes',
      timelineOptions,
      runWithContext(timeline),
    )
    .command(
      'call <service> <path>',
      'Send one request',
      callOptions,
      runWithContext(call),
    )
    .command(
      'explain <request>',
      "Tell a request's story from the logs of all boxes",
      explainOptions,
      runWithContext(explain),
    )
    .completion('completion', 'Print a completion script for the shell')
    .demandCommand(1, 'Specify a command.')
    .version(false)
    .strict()
    .exitProcess(false)
    .fail((message, error) => {
      terminal.err(`${message ?? error.message}\nSee lockpin --help.\n`);
      exitCode = EXIT_CODES.usage;
    });
  await parser.parse();
  return exitCode;
}

const explainOptions = (argv: Argv<CommonOptions>) =>
  argv
    .positional('request', {type: 'string', demandOption: true})
    .option('log', {
      type: 'string',
      array: true,
      default: [] as string[],
      describe: 'Files of log lines; standard input when none is given',
    });

function commonOptions(argv: Argv): Argv<CommonOptions> {
  return argv
    .scriptName('lockpin')
    .option('node', {
      type: 'string',
      default: process.env['LOCKPIN_NODE'] ?? '127.0.0.1:7100',
      describe: "IP:port of a node's operator address (LOCKPIN_NODE)",
    })
    .option('token', {
      type: 'string',
      default: process.env['LOCKPIN_TOKEN'] ?? '',
      defaultDescription: 'LOCKPIN_TOKEN',
      describe: "The operator's token, name.secret (LOCKPIN_TOKEN)",
    })
    .option('output', {
      choices: OUTPUT_FORMATS,
      default: 'table' as const,
    }) as never;
}

function fileOption(
  argv: Argv<CommonOptions>,
): Argv<
  CommonOptions & {readonly file: readonly string[]; readonly wait: boolean}
> {
  return argv
    .option('file', {
      alias: 'f',
      type: 'string',
      array: true,
      demandOption: true,
      describe: 'Manifest in YAML or JSON; may be given again',
    })
    .option('wait', {
      type: 'boolean',
      default: false,
      describe: 'Wait until it is in force on every node',
    }) as never;
}

function resourceOptions(
  argv: Argv<CommonOptions>,
): Argv<CommonOptions & {readonly kind: string; readonly name: string}> {
  return argv
    .positional('kind', {type: 'string', demandOption: true})
    .positional('name', {type: 'string'}) as never;
}

function timelineOptions(argv: Argv<CommonOptions>) {
  return argv
    .option('format', {choices: TIMELINE_FORMATS, default: 'text' as const})
    .option('seconds', {type: 'number', default: 600})
    .option('file', {type: 'string'});
}

function callOptions(argv: Argv<CommonOptions>) {
  return argv
    .positional('service', {type: 'string', demandOption: true})
    .positional('path', {type: 'string', demandOption: true})
    .option('entry', {
      type: 'string',
      default: process.env['LOCKPIN_ENTRY'] ?? '127.0.0.1:7000',
      describe: "IP:port of a node's caller address (LOCKPIN_ENTRY)",
    })
    .option('method', {type: 'string', default: 'GET'})
    .option('data', {type: 'string', describe: 'Body, or @file'})
    .option('once', {
      type: 'boolean',
      default: false,
      describe: 'Get a once key first',
    })
    .option('key', {type: 'string', describe: 'Once key to send'});
}
