import type { GatewayConfiguration, Route } from '../../src/common/gatewayConfiguration.js';
import type { PeerState } from '../../src/common/peerState.js';
import type { TargetRecord } from '../../src/common/targetRecord.js';
import { TargetState } from '../../src/common/targetState.js';

export function makeRoute(changes: Partial<Route> = {}): Route {
	return {
		name: 'route',
		host: 'a.example',
		prefix: '/a/',
		kind: 'idempotent',
		isResumable: false,
		timeoutMs: 1000,
		objectiveMs: 1000,
		priority: 1,
		services: [{ service: 'engines', weight: 1 }],
		maxAttempts: 2,
		isPublic: false,
		hasAffinity: false,
		...changes,
	};
}

export function makeConfiguration(changes: Partial<GatewayConfiguration> = {}): GatewayConfiguration {
	return {
		version: 1,
		routes: [makeRoute()],
		services: new Map(),
		limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
		customersByKey: undefined,
		...changes,
	};
}

export function makeRecord(id: string, changes: Partial<TargetRecord> = {}): TargetRecord {
	return {
		id,
		service: 'engines',
		address: '127.0.0.1:1',
		zone: 'a',
		slots: 64,
		isLeaving: false,
		startedAtMs: 1,
		version: 'v1',
		...changes,
	};
}

/** Makes engines with the given number of requests in flight. */
export function makeEngines(loads: readonly number[]): TargetState[] {
	return loads.map((load, index) => {
		const state = new TargetState(makeRecord(`engine-${index}`));
		state.ownRequests = load;
		return state;
	});
}

export function makePeerState(name: string, changes: Partial<PeerState> = {}): PeerState {
	return {
		instance: {
			fleet: '',
			name,
			incarnation: '1',
			zone: 'a',
			callersAddress: `${name}:1`,
			controlAddress: `${name}:2`,
		},
		isServing: true,
		configurationVersion: 1,
		targetsRevision: 1,
		targetsAgeMs: 0,
		targetsDigest: 0,
		loads: [],
		prompts: [],
		promptTokens: 0,
		promptKnowledge: 'own' as const,
		crashes: [],
		known: [],
		...changes,
	};
}
