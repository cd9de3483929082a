// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Linear regression. */

/** One measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** y = intercept + slope * x. */
export interface Line {
  readonly intercept: number;
  readonly slope: number;
}

/** Fits a line by least squares. */
export function fitLine(points: readonly Point[]): Line {
  const n = points.length;
  const meanX = points.reduce((sum, {x}) => sum + x, 0) / n;
  const meanY = points.reduce((sum, {y}) => sum + y, 0) / n;
  const varianceSum = points.reduce((sum, {x}) => sum + (x - meanX) ** 2, 0);
  const covarianceSum = points.reduce(
    (sum, {x, y}) => sum + (x - meanX) * (y - meanY),
    0,
  );
  const slope = varianceSum === 0 ? 0 : covarianceSum / varianceSum;
  return {intercept: meanY - slope * meanX, slope};
}

/** Evaluates a line at x. */
export function evaluateLine({intercept, slope}: Line, x: number): number {
  return intercept + slope * x;
}
