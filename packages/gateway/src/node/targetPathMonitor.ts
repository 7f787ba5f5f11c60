/** Probes targets while the path of this instance to them may be lost, and acts when it is lost or back. */
import type { EventLog } from '../common/eventLog.js';
import { TargetPath } from '../common/targetPath.js';
import type { TargetState } from '../common/targetState.js';
import type { TargetTable } from '../common/targetTable.js';

/** Targets that are probed in one round, at random. */
const PROBED_TARGETS = 4;
/** How long a probed connection has to stay open: it may be accepted by something in between, and then reset. */
const PROBE_HOLD_MS = 30;

export interface TargetPathMonitorParts {
	readonly targets: TargetTable;
	readonly log: EventLog;
	/** Checks whether a target accepts a connection that stays open for a time. */
	readonly probe: (target: TargetState, holdMs: number) => Promise<boolean>;
	readonly onDidChange: (isLost: boolean) => void;
}

export class TargetPathMonitor {
	private readonly path = new TargetPath((isLost) => {
		this.handleChange(isLost);
	});

	constructor(private readonly parts: TargetPathMonitorParts) {}

	/** Whether no target can be reached from this instance. */
	public get isLost(): boolean {
		return this.path.isLost;
	}

	public recordContact(): void {
		this.path.recordContact(performance.now());
	}

	public recordFailure(): void {
		this.path.recordFailure(performance.now());
	}

	/** Called periodically. */
	public tick(nowMs: number): void {
		for (const target of this.parts.targets.all) {
			if (target.isUnresponsive(nowMs)) {
				this.path.recordFailure(nowMs);
				break;
			}
		}
		if (this.path.isProbeDue(nowMs)) {
			this.path.beginProbes(nowMs);
			void this.probeSome(nowMs);
		}
	}

	private async probeSome(beganAtMs: number): Promise<void> {
		const usable = [...this.parts.targets.all].filter((target) => !this.parts.targets.isEvacuated(target));
		const targets = pickRandom(usable, PROBED_TARGETS);
		const results = await Promise.all(targets.map((target) => this.parts.probe(target, PROBE_HOLD_MS)));
		if (results.includes(true)) {
			this.recordContact();
		} else if (targets.length > 0) {
			this.path.recordFailedProbes(beganAtMs);
		}
	}

	private handleChange(isLost: boolean): void {
		const { log, targets, onDidChange } = this.parts;
		log.write('state', isLost ? 'targetPathLost' : 'targetPathRegained', {});
		if (!isLost) {
			for (const { coldness, health } of targets.all) {
				// The failures were those of the path, and only calls could refute them.
				health.reset();
				coldness.recordContact(performance.now());
			}
		}
		onDidChange(isLost);
	}
}

function pickRandom<T>(items: T[], count: number): readonly T[] {
	const picked: T[] = [];
	while (picked.length < count && items.length > 0) {
		picked.push(...items.splice(Math.floor(Math.random() * items.length), 1));
	}
	return picked;
}
