// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Registers parts of a process that are made once, when first asked for. */

// tsyringe refuses to load before it, in whatever order a bundle loads modules.
import 'reflect-metadata';
import {instanceCachingFactory} from 'tsyringe';
import type {DependencyContainer, InjectionToken} from 'tsyringe';

/** Registers one part with the container it was made for. */
export type RegisterOnce = <T>(
  token: InjectionToken<T>,
  make: (parts: DependencyContainer) => T,
) => void;

/** Parts that are registered with it are made once in this container. */
export function registerOnceIn(container: DependencyContainer): RegisterOnce {
  return (token, make) => {
    container.register(token, {useFactory: instanceCachingFactory(make)});
  };
}
