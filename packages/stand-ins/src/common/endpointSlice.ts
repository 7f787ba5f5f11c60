/** Encodes instances as Kubernetes `discovery.k8s.io/v1` EndpointSlice objects, one slice per instance. */
import type { ListedRouter, ListedState, ListedTarget } from '@papayawell/core';
import { ListedState as States } from '@papayawell/core';

/** Path under which the Kubernetes API serves the list. */
export const ENDPOINT_SLICES_PATH = '/apis/discovery.k8s.io/v1/namespaces/papayawell/endpointslices';

export type ListedInstance = ListedRouter | ListedTarget;

/** Returns the unique name of a listed instance. */
export function getInstanceName(listed: ListedInstance): string {
	return 'router' in listed ? listed.router.instance : listed.target.instance;
}

/** Builds the `EndpointSliceList` document. */
export function encodeEndpointSlices(instances: readonly ListedInstance[], resourceVersion: number): unknown {
	return {
		kind: 'EndpointSliceList',
		apiVersion: 'discovery.k8s.io/v1',
		metadata: { resourceVersion: String(resourceVersion) },
		items: instances.map(encodeInstance),
	};
}

function encodeInstance(listed: ListedInstance): unknown {
	return 'router' in listed ? encodeRouter(listed) : encodeTarget(listed);
}

function encodeRouter({ router, state }: ListedRouter): unknown {
	const callers = splitAddress(router.callersAddress);
	const peers = splitAddress(router.peersAddress);
	return buildSlice({
		name: router.instance,
		service: 'router',
		kind: 'router',
		zone: router.zone,
		address: callers.host,
		state,
		annotations: {
			'papayawell/region': router.region,
			'papayawell/incarnation': String(router.incarnation),
		},
		ports: [
			{ name: 'callers', port: callers.port, protocol: 'TCP' },
			{ name: 'peers', port: peers.port, protocol: 'TCP' },
		],
	});
}

function encodeTarget({ target, state }: ListedTarget): unknown {
	const url = new URL(target.origin);
	return buildSlice({
		name: target.instance,
		service: target.pool,
		kind: target.kind,
		zone: target.zone,
		address: url.hostname,
		state,
		annotations: {
			'papayawell/region': target.region,
			'papayawell/incarnation': target.incarnation,
			'papayawell/capacity': String(target.capacity),
			'papayawell/checks-fencing': String(target.checksFencing),
		},
		ports: [{ name: 'http', port: Number(url.port), protocol: 'TCP' }],
	});
}

interface SliceFields {
	readonly name: string;
	readonly service: string;
	readonly kind: string;
	readonly zone: string;
	readonly address: string;
	readonly state: ListedState;
	readonly annotations: Readonly<Record<string, string>>;
	readonly ports: readonly { readonly name: string; readonly port: number; readonly protocol: string }[];
}

function buildSlice(fields: SliceFields): unknown {
	const isLeaving = fields.state === States.Leaving;
	return {
		metadata: {
			name: fields.name,
			namespace: 'papayawell',
			labels: { 'kubernetes.io/service-name': fields.service, 'papayawell/kind': fields.kind },
			annotations: fields.annotations,
		},
		addressType: 'IPv4',
		endpoints: [
			{
				addresses: [fields.address],
				conditions: { ready: !isLeaving, serving: true, terminating: isLeaving },
				zone: fields.zone,
				targetRef: { kind: 'Pod', namespace: 'papayawell', name: fields.name },
			},
		],
		ports: fields.ports,
	};
}

function splitAddress(address: string): { readonly host: string; readonly port: number } {
	const at = address.lastIndexOf(':');
	return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}
