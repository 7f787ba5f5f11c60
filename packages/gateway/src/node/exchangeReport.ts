/** Writes the log events and metrics of one request. */
import type { AttemptHistory } from '../common/attemptHistory.js';
import type { Placement } from '../common/placement.js';
import type { TargetState } from '../common/targetState.js';
import type { ExchangeInput, ExchangeParts } from './exchangeParts.js';

export interface FailedAttempt {
	readonly failure: string;
	readonly detail: string;
	readonly mayHaveRun: boolean;
	/** Next action of the gateway, such as `retry` or `fail`. */
	readonly decision: string;
	/** Load that the target stated: running requests, waiting requests and slots. */
	readonly load: string | undefined;
}

export class ExchangeReport {
	private readonly placements: string[] = [];
	private readonly versions: string[] = [];
	private firstByteAtMs: number | undefined;

	constructor(
		private readonly parts: Pick<ExchangeParts, 'log' | 'metrics' | 'readTargetsAge'>,
		private readonly input: ExchangeInput,
	) {}

	/** Records the target of the next attempt and the reason for its choice. */
	public recordPlacement({ target, reason, meanLoad, cachedTokens }: Placement): void {
		this.versions.push(target.record.version);
		this.placements.push(
			`${target.record.id}:${reason}:${target.load}/${meanLoad.toFixed(1)}:${cachedTokens}${this.describeEstimate(target)}`,
		);
	}

	/** Records when the first part of a response is sent to the caller. */
	public recordFirstByte(): void {
		this.firstByteAtMs ??= performance.now();
	}

	/** @param lastEventId id of the last event that was sent to the caller */
	public logFailure(report: FailedAttempt, history: AttemptHistory, lastEventId: string | undefined): void {
		const { failure, detail, mayHaveRun, decision, load } = report;
		this.parts.metrics.countDecision(decision);
		this.parts.log.write('decision', 'attemptFailed', {
			id: this.input.request.attemptId,
			target: this.placements.at(-1),
			failure,
			detail,
			mayHaveRun,
			runs: history.runs,
			sends: history.sends,
			events: lastEventId,
			decision,
			load,
			...(failure === 'broken' ? this.describeContent() : {}),
		});
	}

	/** Describes the estimate by which a target was chosen; empty if its service reports no fourth figure. */
	private describeEstimate(target: TargetState): string {
		const { statedLoad, record } = target;
		if (!statedLoad.isInUse) {
			return '';
		}
		const nowMs = performance.now();
		const { requests, deviation, slowdown } = target.estimateLoad(nowMs);
		const { report } = statedLoad;
		if (report !== undefined) {
			this.parts.metrics.observeReportAge(record.service, nowMs - report.reportedAtMs);
		}
		const age = report === undefined ? 'none' : Math.round(nowMs - report.reportedAtMs);
		return `:${requests.toFixed(1)}~${deviation.toFixed(1)}x${slowdown.toFixed(1)}@${age}`;
	}

	/** Describes what requests that crash their targets may have in common. */
	private describeContent(): Readonly<Record<string, string>> {
		const { traits, request } = this.input;
		return { content: traits.fingerprint, prompt: request.prompt.map(({ id }) => id).join(' ') };
	}

	/** @param fields log fields specific to this outcome */
	public logEnd(
		outcome: string,
		service: string,
		history: AttemptHistory,
		lastEventId: string | undefined,
		fields: Readonly<Record<string, string | number | undefined>>,
	): void {
		const { request, route, customer, receivedAtMs, relayed, configurationVersion } = this.input;
		const { log, metrics, readTargetsAge } = this.parts;
		const nowMs = performance.now();
		const firstMs = this.firstByteAtMs === undefined ? undefined : this.firstByteAtMs - receivedAtMs;
		metrics.countRequest(route.name, outcome);
		metrics.observeLatency(route.kind, 'whole', nowMs - receivedAtMs);
		if (firstMs !== undefined) {
			metrics.observeLatency(route.kind, 'first', firstMs);
		}
		log.write(outcome === 'answered' ? 'routine' : 'decision', 'requestEnded', {
			id: request.attemptId,
			outcome,
			route: route.name,
			service,
			customer: customer?.name,
			configurationVersion,
			targetsAgeMs: Math.round(readTargetsAge()),
			path: this.placements.join(' '),
			versions: this.versions.join(' '),
			resumes: request.resumedAttemptId,
			relayedBy: relayed?.instance,
			runs: history.runs,
			firstMs: firstMs === undefined ? undefined : Math.round(firstMs),
			totalMs: Math.round(nowMs - receivedAtMs),
			lastEvent: lastEventId,
			...fields,
		});
	}
}
