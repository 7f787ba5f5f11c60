/** Client of the admin API of routers. */
import type { Result } from '@papayawell/core';
import { Err, Ok } from '@papayawell/core';
import { z } from 'zod';
import type { ConfigurationSummary, FleetStatus, QuarantineEntry, RouterStatus } from './adminApi.js';

const CALL_TIMEOUT_MS = 5000;

export type AdminError =
	| { readonly kind: 'unreachable'; readonly origin: string; readonly message: string }
	| { readonly kind: 'refused'; readonly origin: string; readonly status: number }
	| { readonly kind: 'malformed'; readonly origin: string };

const routerStatus = z.object({
	instance: z.string(),
	configurationVersion: z.int().nonnegative(),
	isDraining: z.boolean(),
});
const peerStatus = z.discriminatedUnion('kind', [
	routerStatus.extend({ kind: z.literal('known') }),
	z.object({ kind: z.literal('unknown'), instance: z.string(), reason: z.string() }),
]);
const fleetStatus = routerStatus.extend({ changeId: z.string().optional(), peers: z.array(peerStatus) });
const configurationSummary = z.object({ version: z.int().nonnegative(), changeId: z.string().optional() });
const quarantineEntry = z.object({ fingerprint: z.string(), reason: z.string(), expiresAtMs: z.number() });

export class AdminClient {
	/** `origin` is the admin address, such as `http://10.0.0.5:8081`. */
	constructor(
		public readonly origin: string,
		private readonly token: string,
	) {}

	/** Reads the status of the router and of its peers. */
	public async readStatus(): Promise<Result<FleetStatus, AdminError>> {
		const answer = await this.request('GET', '/admin/v1/status', fleetStatus);
		return answer.map((status) => ({ ...status, changeId: status.changeId }));
	}

	/** Reads the version in force on this router only. */
	public async readConfiguration(): Promise<Result<ConfigurationSummary, AdminError>> {
		const answer = await this.request('GET', '/admin/v1/configuration', configurationSummary);
		return answer.map(({ version, changeId }) => ({ version, changeId }));
	}

	public async listQuarantine(): Promise<Result<readonly QuarantineEntry[], AdminError>> {
		return this.request('GET', '/admin/v1/quarantine', z.array(quarantineEntry));
	}

	/** Releases a quarantined fingerprint on the whole fleet. */
	public async releaseQuarantine(fingerprint: string): Promise<Result<unknown, AdminError>> {
		const path = `/admin/v1/quarantine/${encodeURIComponent(fingerprint)}`;
		return this.request('DELETE', path, z.unknown());
	}

	/** Reads the state of the orders to engines. */
	public async readOrders(): Promise<Result<unknown, AdminError>> {
		return this.request('GET', '/admin/v1/orders', z.unknown());
	}

	private async request<T>(
		method: string,
		path: string,
		schema: z.ZodType<T>,
	): Promise<Result<T, AdminError>> {
		try {
			const response = await fetch(`${this.origin}${path}`, {
				method,
				headers: { authorization: `Bearer ${this.token}` },
				signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
			});
			if (!response.ok) {
				return Err({ kind: 'refused', origin: this.origin, status: response.status });
			}
			const parsed = schema.safeParse(await response.json());
			return parsed.success ? Ok(parsed.data) : Err({ kind: 'malformed', origin: this.origin });
		} catch (error) {
			return Err({ kind: 'unreachable', origin: this.origin, message: String(error) });
		}
	}
}

/** Describes an error in one sentence. */
export function describeAdminError(error: AdminError): string {
	switch (error.kind) {
		case 'unreachable':
			return `${error.origin} can't be reached: ${error.message}.`;
		case 'refused':
			return `${error.origin} answered ${error.status}.`;
		case 'malformed':
			return `${error.origin} sent a response that is not one of the admin API.`;
	}
}

/** Merges the statuses reported by several routers: one per instance, with its highest known version. */
export function mergeStatuses(statuses: readonly FleetStatus[]): readonly RouterStatus[] {
	const merged = new Map<string, RouterStatus>();
	for (const status of statuses.flatMap(listKnownRouters)) {
		const known = merged.get(status.instance);
		if (known === undefined || known.configurationVersion < status.configurationVersion) {
			merged.set(status.instance, status);
		}
	}
	return [...merged.values()].sort((a, b) => (a.instance < b.instance ? -1 : 1));
}

/** Lists the instances whose status none of the queried routers knows. */
export function listUnknownInstances(statuses: readonly FleetStatus[]): readonly string[] {
	const known = new Set(mergeStatuses(statuses).map(({ instance }) => instance));
	const unknown = statuses.flatMap(({ peers }) => peers).filter(({ kind }) => kind === 'unknown');
	return [...new Set(unknown.map(({ instance }) => instance))].filter((instance) => !known.has(instance));
}

function listKnownRouters(status: FleetStatus): readonly RouterStatus[] {
	const { instance, configurationVersion, isDraining } = status;
	const own = { instance, configurationVersion, isDraining };
	return [own, ...status.peers.filter((peer) => peer.kind === 'known').map(toRouterStatus)];
}

function toRouterStatus({ instance, configurationVersion, isDraining }: RouterStatus): RouterStatus {
	return { instance, configurationVersion, isDraining };
}
