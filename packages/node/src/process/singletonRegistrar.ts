// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Registration of singletons that are created when first resolved. */

// tsyringe requires that this is loaded first, whatever order a bundle uses.
import 'reflect-metadata';
import {instanceCachingFactory} from 'tsyringe';
import type {DependencyContainer, InjectionToken} from 'tsyringe';

/** Registers a singleton with a container. */
export type RegisterSingleton = <T>(
  token: InjectionToken<T>,
  create: (dependencies: DependencyContainer) => T,
) => void;

/** Returns a function that registers singletons with a container. */
export function createSingletonRegistrar(
  container: DependencyContainer,
): RegisterSingleton {
  return (token, create) => {
    container.register(token, {useFactory: instanceCachingFactory(create)});
  };
}
