/** Parses traces; every invalid line becomes a finding with its line and column. */
import type { Finding, Result } from '@papayawell/core';
import { Err, Ok } from '@papayawell/core';
import type { z } from 'zod';
import type { TraceEvent } from './traceEvent.js';
import { traceEventSchema } from './traceEvent.js';

/** Lines after this many findings are not checked. */
const MAX_FINDINGS = 100;

/** Collects the events and findings of a trace that arrives line by line. */
export class TraceReader {
	private readonly events: TraceEvent[] = [];
	private readonly findings: Finding[] = [];
	private readonly internedStrings = new Map<string, string>();
	private line = 0;
	private previousTimeMs = 0;

	/** @param source name of the trace in findings */
	constructor(private readonly source: string) {}

	/** Whether the limit of findings is reached; further lines are ignored. */
	public get hasTooManyFindings(): boolean {
		return this.findings.length >= MAX_FINDINGS;
	}

	/** Parses the next line. Empty lines are skipped. */
	public addLine(text: string): void {
		this.line += 1;
		if (text.trim() === '' || this.hasTooManyFindings) {
			return;
		}
		const parsed = this.parseJson(text);
		if (parsed === undefined) {
			return;
		}
		const checked = traceEventSchema.safeParse(parsed);
		if (!checked.success) {
			this.addIssues(text, checked.error.issues);
			return;
		}
		this.addEvent(text, checked.data);
	}

	/** Returns all events, or the findings if there are any. */
	public finish(): Result<TraceEvent[], Finding[]> {
		return this.findings.length > 0 ? Err(this.findings) : Ok(this.events);
	}

	private addEvent(text: string, event: TraceEvent): void {
		if (event.t < this.previousTimeMs) {
			const message = `t ${event.t} is earlier than ${this.previousTimeMs} of the previous event`;
			this.addFinding(findColumn(text, 't'), message);
			return;
		}
		this.previousTimeMs = event.t;
		this.events.push(this.shareStrings(event));
	}

	/** Interns strings that occur in many events, which saves most of the memory of a long trace. */
	private shareStrings(event: TraceEvent): TraceEvent {
		if (event.type !== 'request') {
			return event;
		}
		event.customer = this.shareString(event.customer);
		event.pool = this.shareString(event.pool);
		event.class = this.shareString(event.class);
		return event;
	}

	private shareString(text: string): string {
		const known = this.internedStrings.get(text);
		if (known === undefined) {
			this.internedStrings.set(text, text);
		}
		return known ?? text;
	}

	private parseJson(text: string): unknown {
		try {
			return JSON.parse(text);
		} catch (error) {
			const message = error instanceof Error ? error.message : 'invalid JSON';
			const position = /position (\d+)/.exec(message)?.[1];
			this.addFinding(position === undefined ? text.length : Number(position) + 1, message);
			return undefined;
		}
	}

	private addIssues(text: string, issues: readonly z.core.$ZodIssue[]): void {
		for (const issue of issues) {
			if (issue.code === 'unrecognized_keys') {
				for (const key of issue.keys) {
					this.addFinding(findColumn(text, key), `unknown field '${key}'`);
				}
				continue;
			}
			const field = issue.path[0];
			const label = field === undefined ? '' : `${String(field)}: `;
			this.addFinding(findColumn(text, field), `${label}${issue.message}`);
		}
	}

	private addFinding(column: number, message: string): void {
		this.findings.push({ source: this.source, place: { line: this.line, column }, message });
	}
}

/** Parses a whole trace. */
export function parseTrace(text: string, source: string): Result<TraceEvent[], Finding[]> {
	const reader = new TraceReader(source);
	for (const line of text.split('\n')) {
		reader.addLine(line);
	}
	return reader.finish();
}

/** Formats an event as one line of a trace. */
export function formatTraceEvent(event: TraceEvent): string {
	return JSON.stringify(event);
}

/** Returns the column of a field's name, or 1 if the line does not name it. */
function findColumn(text: string, field: PropertyKey | undefined): number {
	const index = field === undefined ? -1 : text.indexOf(`"${String(field)}"`);
	return index < 0 ? 1 : index + 1;
}
