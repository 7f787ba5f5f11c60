/** What the log and the metrics tell of one request. */
import type { AttemptHistory } from '../common/attemptHistory.js';
import type { Placement } from '../common/targetTable.js';
import type { ExchangeInput, ExchangeParts } from './exchangeParts.js';

export interface AttemptReport {
	readonly failure: string;
	readonly detail: string;
	readonly mayHaveRun: boolean;
	/** What follows. */
	readonly decision: string;
}

export class ExchangeReport {
	private readonly path: string[] = [];
	private firstAtMs: number | undefined;

	constructor(
		private readonly parts: Pick<ExchangeParts, 'log' | 'metrics' | 'readTargetsAge'>,
		private readonly input: ExchangeInput,
		private readonly service: string,
	) {}

	/** Notes where the next attempt goes, and why. */
	public notePlacement({ target, reason, meanLoad, cachedTokens }: Placement): void {
		this.path.push(`${target.record.id}:${reason}:${target.load}/${meanLoad.toFixed(1)}:${cachedTokens}`);
	}

	/** Notes that the first part of an answer goes to the caller. */
	public noteFirst(): void {
		this.firstAtMs ??= performance.now();
	}

	/** @param lastEventId last event that the caller has */
	public writeFailure(report: AttemptReport, history: AttemptHistory, lastEventId: string | undefined): void {
		const { failure, detail, mayHaveRun, decision } = report;
		this.parts.metrics.countDecision(decision);
		this.parts.log.write('decision', 'attemptFailed', {
			id: this.input.request.attemptId,
			target: this.path.at(-1),
			failure,
			detail,
			mayHaveRun,
			runs: history.runs,
			sends: history.sends,
			events: lastEventId,
			decision,
		});
	}

	/** @param fields what only this outcome tells */
	public writeEnd(
		outcome: string,
		history: AttemptHistory,
		lastEventId: string | undefined,
		fields: Readonly<Record<string, string | number | undefined>>,
	): void {
		const { request, route, customer, receivedAtMs, configurationVersion } = this.input;
		const { log, metrics, readTargetsAge } = this.parts;
		const nowMs = performance.now();
		const firstMs = this.firstAtMs === undefined ? undefined : this.firstAtMs - receivedAtMs;
		metrics.countEnd(route.name, outcome);
		metrics.noteLatency(route.kind, 'whole', nowMs - receivedAtMs);
		if (firstMs !== undefined) {
			metrics.noteLatency(route.kind, 'first', firstMs);
		}
		log.write(outcome === 'answered' ? 'routine' : 'decision', 'requestEnded', {
			id: request.attemptId,
			outcome,
			route: route.name,
			service: this.service,
			customer: customer?.name,
			configurationVersion,
			targetsAgeMs: Math.round(readTargetsAge()),
			path: this.path.join(' '),
			runs: history.runs,
			firstMs: firstMs === undefined ? undefined : Math.round(firstMs),
			totalMs: Math.round(nowMs - receivedAtMs),
			lastEvent: lastEventId,
			...fields,
		});
	}
}
