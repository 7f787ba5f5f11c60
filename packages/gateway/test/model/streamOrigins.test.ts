/**
 * Callers that resume their streams at any instance of a fleet while targets of two versions serve, and instances are
 * killed, cut off from the others or lose datagrams. Real lookups over a modelled network.
 */
import { install } from '@sinonjs/fake-timers';
import type { Clock } from '@sinonjs/fake-timers';
import { expect } from 'chai';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { VersionOpinion } from '../../src/common/versionHistory.js';
import type { OriginLookup } from '../../src/node/streamOriginSync.js';
import { StreamOriginSync } from '../../src/node/streamOriginSync.js';

interface Load {
	readonly instances: number;
	readonly versions: readonly string[];
	/** Share of the datagrams that get lost. */
	readonly lostShare: number;
	/** Share of the streams whose instance is killed right after their first event. */
	readonly killedShare: number;
	/** Share of the instances that no other instance reaches. */
	readonly cutShare: number;
}

interface Outcome {
	/** Share of the streams that go on at the version that began them. */
	readonly servedShare: number;
	/** Streams that would go on at another version. */
	readonly mixed: number;
	/** Streams that were resumed at an instance that is not cut off, and began at one. */
	readonly servedConnectedShare: number;
}

interface Member {
	readonly name: string;
	readonly controlAddress: string;
	readonly isCut: boolean;
	sync: StreamOriginSync;
}

const STREAMS = 400;
const NETWORK_MS = 5;
/** Longer than any lookup takes. */
const LOOKUP_MS = 400;
const SERVICE = 'engines';
/** Of 12 streams or more, at least this share of those of which targets are left goes on (rule LOST). */
const MIN_SERVED_SHARE = 0.5;

const QUIET: Omit<Load, 'instances'> = {
	versions: ['v1', 'v2'],
	lostShare: 0,
	killedShare: 0,
	cutShare: 0,
};

class FleetOfLookups {
	private readonly random: () => number;
	private readonly members: readonly Member[];

	constructor(
		private readonly load: Load,
		private readonly clock: Clock,
	) {
		const generator = xoroshiro128plus(load.instances);
		this.random = () => uniformFloat64(generator);
		this.members = Array.from({ length: load.instances }, (_, index) => {
			const name = `edge-${index}`;
			const member = { name, controlAddress: `${name}:1`, isCut: index < load.cutShare * load.instances };
			return { ...member, sync: this.makeSync(member, false) };
		});
	}

	public async run(): Promise<Outcome> {
		let [served, mixed, servedConnected, connected] = [0, 0, 0, 0];
		for (let stream = 0; stream < STREAMS; stream++) {
			const [first, second] = [this.pick(this.members), this.pick(this.members)];
			const version = this.pick(this.load.versions);
			const attemptId = `stream-${stream}`;
			first.sync.record(attemptId, { service: SERVICE, version });
			if (this.random() < this.load.killedShare) {
				this.restart(first);
			}
			await this.clock.tickAsync(2 * NETWORK_MS);
			const lookup = await this.find(second, attemptId);
			const isServed = lookup.kind === 'known' && lookup.origin.version === version;
			served += isServed ? 1 : 0;
			mixed += lookup.kind === 'known' && !isServed ? 1 : 0;
			if (!first.isCut && !second.isCut) {
				connected += 1;
				servedConnected += isServed ? 1 : 0;
			}
		}
		return { servedShare: served / STREAMS, mixed, servedConnectedShare: servedConnected / connected };
	}

	private async find({ sync }: Member, attemptId: string): Promise<OriginLookup> {
		const found = sync.find(attemptId, SERVICE);
		await this.clock.tickAsync(LOOKUP_MS);
		return found;
	}

	private restart(member: Member): void {
		member.sync = this.makeSync(member, true);
		for (const { sync, isCut } of this.members) {
			if (!isCut && !member.isCut) {
				sync.handlePeerStart(member);
			}
		}
	}

	private makeSync(self: Omit<Member, 'sync'>, isRestarted: boolean): StreamOriginSync {
		const [version = '', ...others] = this.load.versions;
		const known: VersionOpinion = others.length > 0 ? { kind: 'several' } : { kind: 'sole', version };
		return new StreamOriginSync({
			listPeers: () => this.members.filter(({ name }) => name !== self.name),
			hearsMajority: () => !self.isCut,
			describeVersions: () => (isRestarted && others.length === 0 ? { kind: 'unknown' } : known),
			send: (address, message) => {
				const receiver = this.members.find(({ controlAddress }) => controlAddress === address);
				const isCut = self.isCut || receiver?.isCut === true;
				if (receiver !== undefined && !isCut && this.random() >= this.load.lostShare) {
					setTimeout(() => {
						receiver.sync.handleMessage(message, self.controlAddress);
					}, NETWORK_MS);
				}
			},
		});
	}

	private pick<T>(items: readonly T[]): T {
		const item = items[Math.floor(this.random() * items.length)];
		if (item === undefined) {
			throw new RangeError('The model has nothing to choose from.');
		}
		return item;
	}
}

describe('streams that are resumed at any instance of a fleet', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
	});

	afterEach(() => {
		clock.uninstall();
	});

	for (const instances of [4, 31, 79, 323]) {
		for (const [name, changes] of [
			['no instance is killed or cut off', {}],
			['a tenth of the datagrams is lost', { lostShare: 0.1 }],
			['the instance that began them is killed', { killedShare: 1 }],
			['datagrams are lost and instances are killed', { lostShare: 0.1, killedShare: 0.3 }],
			['a quarter of the instances is cut off from the others', { cutShare: 0.25 }],
			['there is one version and instances are killed', { versions: ['v1'], killedShare: 0.3 }],
		] as const) {
			// Guards against ORDER, streams of two versions, and against LOST, refusals of what could go on.
			it(`${instances} instances: go on at their versions, none at another, when ${name}`, async () => {
				const fleet = new FleetOfLookups({ ...QUIET, instances, ...changes }, clock);
				const { mixed, servedConnectedShare } = await fleet.run();
				expect(mixed).to.equal(0);
				expect(servedConnectedShare).to.be.at.least(MIN_SERVED_SHARE);
			});
		}
	}
});
