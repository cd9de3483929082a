// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Rendering of a timeline as an HTML page. */

import {describe, expect, it} from 'vitest';
import type {TimelineEvent} from '@lockpin/types';
import {renderTimelineHtml} from '../renderTimelineHtml.js';

function event(box: string, milliseconds: number, kind: string): TimelineEvent {
  const time = {milliseconds, counter: 0};
  return {time, box, kind, subject: '<b>&', detail: {n: 1}};
}

describe('renderTimelineHtml', () => {
  it('renders a lane for each box and a mark for each event', () => {
    const page = renderTimelineHtml([
      event('one', 1000, 'node-ready'),
      event('two', 1500, 'upstream-ejected'),
      event('one', 2000, 'change-accepted'),
    ]);
    expect(page.match(/<line /g)).toHaveLength(2);
    expect(page.match(/<circle /g)).toHaveLength(3);
    expect(page).toContain('+0.500s two upstream-ejected');
  });

  it('escapes event fields and references no external files', () => {
    const page = renderTimelineHtml([event('one', 1000, '<script>')]);
    expect(page).not.toContain('<script>');
    expect(page).not.toContain('<b>&');
    expect(page).not.toMatch(/src=|href=|url\(/);
  });

  it('renders a timeline without events', () => {
    expect(renderTimelineHtml([])).toContain('0 events');
  });
});
