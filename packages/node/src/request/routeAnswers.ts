// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What the answers of routes were like at this entry. */

/** Tells the routes whose answers were all held until they were whole. */
export class RouteAnswers {
  /** By the name of a route: whether an answer was passed on before its end. */
  private readonly wasStreamed = new Map<string, boolean>();

  /** An answer on a route has come, whole or as the beginning of a long one. */
  answered(route: string, isWhole: boolean): void {
    if (!isWhole || !this.wasStreamed.has(route)) {
      this.wasStreamed.set(route, !isWhole);
    }
  }

  /** Whether the next answer on a route may break off after it has begun. */
  mayBreakOff(route: string): boolean {
    return this.wasStreamed.get(route) ?? true;
  }
}
