/** The trace format: one JSON object per line, ordered by time. Used by the replay and by the load generator. */
import { z } from 'zod';

/** Milliseconds from the start of the trace. */
const time = z.number().nonnegative();
const name = z.string().min(1);
const tokens = z.int().nonnegative();

const instanceEvent = z.strictObject({
	t: time,
	type: z.literal('instance'),
	instance: name,
	pool: name,
	zone: name,
	event: z.enum(['join', 'leaving', 'leave', 'crash', 'recover']),
	/** Requests that the target runs concurrently. */
	capacity: z.int().positive(),
	kind: z.enum(['engine', 'application']).default('engine'),
	/** Size of the prefix cache in tokens. */
	cacheTokens: tokens.optional(),
});

const requestEvent = z.strictObject({
	t: time,
	type: z.literal('request'),
	id: name,
	customer: name,
	chat: name.optional(),
	pool: name,
	class: name,
	promptTokens: tokens.optional(),
	outputTokens: tokens.optional(),
	/** Present for an operation with at-most-once semantics. */
	idempotencyKey: name.optional(),
	/** Processing time of the call at an application, in ms. */
	serviceMs: z.number().nonnegative().optional(),
});

const keyValueEvent = z.strictObject({
	t: time,
	type: z.literal('kv'),
	event: z.enum(['down', 'up', 'slow', 'lose-answers']),
});

const routerEvent = z.strictObject({
	t: time,
	type: z.literal('router'),
	/** Number of the router, from 1. */
	router: z.int().positive(),
	event: z.enum(['crash', 'drain', 'start', 'pause']),
	/** Length of a pause. */
	durationMs: z.number().positive().optional(),
});

const externalLoadEvent = z.strictObject({
	t: time,
	type: z.literal('externalLoad'),
	instance: name,
	/** Number of requests that the older system runs on the instance from this time on. */
	requests: z.int().nonnegative(),
});

/** Schema of one trace event. */
export const traceEventSchema = z.discriminatedUnion('type', [
	instanceEvent,
	requestEvent,
	keyValueEvent,
	routerEvent,
	externalLoadEvent,
]);

export type TraceEvent = z.infer<typeof traceEventSchema>;
export type InstanceEvent = z.infer<typeof instanceEvent>;
export type RequestEvent = z.infer<typeof requestEvent>;
export type KeyValueEvent = z.infer<typeof keyValueEvent>;
export type RouterEvent = z.infer<typeof routerEvent>;
export type ExternalLoadEvent = z.infer<typeof externalLoadEvent>;
