/** Decodes Kubernetes `discovery.k8s.io/v1` EndpointSlice lists into the instances of the fleet. */
import type { InstanceList, ListedRouter, ListedState, ListedTarget, Result } from '@papayawell/core';
import { Err, Ok } from '@papayawell/core';
import { z } from 'zod';

const conditionsSchema = z.object({
	ready: z.boolean().nullish(),
	serving: z.boolean().nullish(),
	terminating: z.boolean().nullish(),
});

const endpointSchema = z.object({
	addresses: z.array(z.string()).min(1),
	conditions: conditionsSchema.nullish(),
	zone: z.string().nullish(),
	targetRef: z.object({ name: z.string() }).nullish(),
});

const sliceSchema = z.object({
	metadata: z.object({
		name: z.string(),
		labels: z.record(z.string(), z.string()).default({}),
		annotations: z.record(z.string(), z.string()).default({}),
	}),
	endpoints: z.array(endpointSchema).nullish(),
	ports: z.array(z.object({ name: z.string().nullish(), port: z.number().int() })).nullish(),
});

const listSchema = z.object({ items: z.array(z.unknown()) });

type Slice = z.infer<typeof sliceSchema>;
type Endpoint = z.infer<typeof endpointSchema>;

/** An invalid item of the list. It is skipped; the valid items are still used. */
export interface ListItemFinding {
	/** Zero-based index of the item in the list. */
	readonly item: number;
	readonly message: string;
}

export interface DecodedInstanceList {
	readonly list: InstanceList;
	readonly findings: readonly ListItemFinding[];
}

const KIND_LABEL = 'papayawell/kind';
const SERVICE_LABEL = 'kubernetes.io/service-name';
const DEFAULT_CAPACITY = 1;

/** Decodes a list; fails only if the document has no `items` array. Invalid items become findings. */
export function decodeInstanceList(
	document: unknown,
	receivedAtMs: number,
): Result<DecodedInstanceList, string> {
	const parsed = listSchema.safeParse(document);
	if (!parsed.success) {
		return Err(parsed.error.message);
	}
	const routers: ListedRouter[] = [];
	const targets: ListedTarget[] = [];
	const findings: ListItemFinding[] = [];
	for (const [item, value] of parsed.data.items.entries()) {
		const message = addSlice(value, routers, targets);
		if (message !== undefined) {
			findings.push({ item, message });
		}
	}
	return Ok({ list: { routers, targets, receivedAtMs }, findings });
}

/** Adds the instances of one slice; returns a description of the first error, or undefined. */
function addSlice(value: unknown, routers: ListedRouter[], targets: ListedTarget[]): string | undefined {
	const parsed = sliceSchema.safeParse(value);
	if (!parsed.success) {
		return parsed.error.message;
	}
	const slice = parsed.data;
	const kind = slice.metadata.labels[KIND_LABEL];
	if (kind !== 'router' && kind !== 'engine' && kind !== 'application') {
		return `label ${KIND_LABEL} is ${kind ?? 'missing'}`;
	}
	for (const endpoint of slice.endpoints ?? []) {
		const message =
			kind === 'router' ? addRouter(slice, endpoint, routers) : addTarget(slice, endpoint, kind, targets);
		if (message !== undefined) {
			return message;
		}
	}
	return undefined;
}

function addRouter(slice: Slice, endpoint: Endpoint, routers: ListedRouter[]): string | undefined {
	const callersPort = findPort(slice, 'callers');
	const peersPort = findPort(slice, 'peers');
	const incarnation = Number(slice.metadata.annotations['papayawell/incarnation']);
	if (callersPort === undefined || peersPort === undefined) {
		return 'router slice lacks the port callers or peers';
	}
	if (!Number.isFinite(incarnation)) {
		return 'router slice lacks a numeric annotation papayawell/incarnation';
	}
	const address = readAddress(endpoint);
	const router = {
		instance: readName(slice, endpoint),
		incarnation,
		region: readRegion(slice),
		zone: endpoint.zone ?? '',
		callersAddress: `${address}:${callersPort}`,
		peersAddress: `${address}:${peersPort}`,
	};
	routers.push({ router, state: readState(endpoint) });
	return undefined;
}

function addTarget(
	slice: Slice,
	endpoint: Endpoint,
	kind: 'engine' | 'application',
	targets: ListedTarget[],
): string | undefined {
	const port = findPort(slice, 'http');
	const pool = slice.metadata.labels[SERVICE_LABEL];
	if (port === undefined || pool === undefined) {
		return `target slice lacks the port http or the label ${SERVICE_LABEL}`;
	}
	const { annotations } = slice.metadata;
	const target = {
		instance: readName(slice, endpoint),
		kind,
		pool,
		region: readRegion(slice),
		zone: endpoint.zone ?? '',
		origin: `http://${readAddress(endpoint)}:${port}`,
		incarnation: annotations['papayawell/incarnation'] ?? '',
		capacity: readCapacity(annotations['papayawell/capacity']),
		checksFencing: annotations['papayawell/checks-fencing'] === 'true',
	};
	targets.push({ target, state: readState(endpoint) });
	return undefined;
}

function readCapacity(text: string | undefined): number {
	const capacity = Number(text);
	return Number.isFinite(capacity) && capacity > 0 ? capacity : DEFAULT_CAPACITY;
}

function readName(slice: Slice, endpoint: Endpoint): string {
	return endpoint.targetRef?.name ?? slice.metadata.name;
}

function readRegion(slice: Slice): string {
	return slice.metadata.annotations['papayawell/region'] ?? '';
}

function readAddress(endpoint: Endpoint): string {
	return endpoint.addresses[0] ?? '';
}

function findPort(slice: Slice, name: string): number | undefined {
	return slice.ports?.find((port) => port.name === name)?.port;
}

/** Kubernetes sets `terminating` as soon as the shutdown of an instance begins. */
function readState(endpoint: Endpoint): ListedState {
	return endpoint.conditions?.terminating === true ? 'leaving' : 'live';
}
