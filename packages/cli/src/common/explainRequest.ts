/** Reconstructs the events of one request from gateway logs and derives why it ended. */

export interface LogEvent {
	readonly event: string;
	readonly instance: string;
	/** Time of the log record, in epoch milliseconds. */
	readonly timeMs: number;
	readonly fields: Readonly<Record<string, string | number | boolean>>;
}

export interface Explanation {
	/** The events of the request, ordered by time. */
	readonly events: readonly LogEvent[];
	/** One sentence that states why the request ended. */
	readonly cause: string;
}

interface RoarrRecord {
	readonly context: Readonly<Record<string, string | number | boolean>>;
	readonly message: string;
	readonly time: number;
}

/** Parses a log line, which may have a prefix before the JSON record. Returns undefined if it holds no log record. */
export function parseLogLine(line: string): LogEvent | undefined {
	const start = line.indexOf('{"context"');
	if (start < 0) {
		return undefined;
	}
	let record: unknown;
	try {
		record = JSON.parse(line.slice(start));
	} catch {
		// Other programs may write to the same log, so a malformed line is skipped.
		return undefined;
	}
	if (!isRoarrRecord(record)) {
		return undefined;
	}
	const { instance = '', ...fields } = record.context;
	return { event: record.message, instance: String(instance), timeMs: record.time, fields };
}

export function explainRequest(id: string, lines: Iterable<string>): Explanation {
	const events: LogEvent[] = [];
	for (const line of lines) {
		const event = parseLogLine(line);
		if (event?.fields.id === id) {
			events.push(event);
		}
	}
	events.sort((a, b) => a.timeMs - b.timeMs);
	return { events, cause: describeCause(events) };
}

export function formatEvent({ event, instance, timeMs, fields }: LogEvent): string {
	const shown = Object.entries(fields)
		.filter(([name]) => name !== 'id' && name !== 'incarnation' && name !== 'logLevel')
		.map(([name, value]) => `${name}=${value}`);
	return `${new Date(timeMs).toISOString()} ${instance} ${event} ${shown.join(' ')}`;
}

function describeCause(events: readonly LogEvent[]): string {
	const end = events.findLast(({ event }) => event === 'requestEnded');
	if (end === undefined) {
		return 'The logs hold no end of this request: its line was dropped, or the process ended before it.';
	}
	const { outcome, status, reason, detail, totalMs, firstMs, path } = end.fields;
	const failures = events.filter(({ event }) => event === 'attemptFailed');
	const attempts = failures
		.map(({ fields }) => `${fields.target}: ${fields.failure}, ${fields.detail}`)
		.join('; ');
	switch (String(outcome)) {
		case 'answered':
			return `Answered with HTTP ${status} after ${totalMs} ms (first part after ${firstMs} ms) by way of ${path}.`;
		case 'refused':
			return `Refused with HTTP ${status}, reason ${reason}: ${detail ?? 'see the events above'}.${attempts === '' ? '' : ` Attempts: ${attempts}.`}`;
		case 'targetFailure':
			return `The targets failed it with HTTP ${status}. Attempts: ${attempts}.`;
		case 'cut':
			return `The answer was broken off: ${detail}. Attempts: ${attempts}.`;
		case 'abandoned':
			return `The caller went away after ${totalMs} ms.`;
		default:
			return `It ended as ${String(outcome)}.`;
	}
}

function isRoarrRecord(value: unknown): value is RoarrRecord {
	const record = value as Partial<RoarrRecord> | null;
	return (
		typeof record === 'object' &&
		record !== null &&
		typeof record.context === 'object' &&
		typeof record.message === 'string' &&
		typeof record.time === 'number'
	);
}
