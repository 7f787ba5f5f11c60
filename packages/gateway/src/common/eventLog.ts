/** Log events: one line for each decision, with what decided it. */

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/**
 * `routine` lines tell of requests that went well and go first when the budget is spent; `decision` lines tell of
 * refusals, failures and retries; `state` lines tell of changes in what the process believes and are never dropped
 * for the budget.
 */
export type LogClass = 'routine' | 'decision' | 'state';

export interface EventLog {
	/** @param event name of the event, as listed in docs/OPERATIONS.md */
	write(logClass: LogClass, event: string, fields: LogFields): void;
}
