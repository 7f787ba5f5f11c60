/**
 * Re-exports `ts-results`. Other modules import from here, because its ES module build does not load in
 * Node.js.
 */
import results from 'ts-results';
import type { Err as ErrType, Ok as OkType, Result as ResultType } from 'ts-results';

export type Result<T, E> = ResultType<T, E>;
export type Ok<T> = OkType<T>;
export type Err<E> = ErrType<E>;

/** Creates a successful result. */
export const Ok = results.Ok;
/** Creates a failed result. */
export const Err = results.Err;
