/** Interface of the event log: one line per event, with the figures behind each decision. */

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/**
 * `routine` lines record successful requests and are dropped first when the rate limit is reached.
 * `decision` lines record refusals, failures and retries. `state` lines record changes of the state of the
 * process; they have the highest rate limit.
 */
export type LogClass = 'routine' | 'decision' | 'state';

export interface EventLog {
	/** @param event event name, as listed in docs/OPERATIONS.md */
	write(logClass: LogClass, event: string, fields: LogFields): void;
}
