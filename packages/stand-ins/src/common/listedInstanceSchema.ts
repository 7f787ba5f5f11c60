/** Validates instances that are added to the instance list over HTTP. */
import type { ListedRouter, ListedTarget } from '@papayawell/core';
import { z } from 'zod';

const state = z.enum(['live', 'leaving']);

const routerSchema: z.ZodType<ListedRouter> = z.strictObject({
	router: z.strictObject({
		instance: z.string(),
		incarnation: z.number(),
		region: z.string(),
		zone: z.string(),
		callersAddress: z.string(),
		peersAddress: z.string(),
	}),
	state,
});

const targetSchema: z.ZodType<ListedTarget> = z.strictObject({
	target: z.strictObject({
		instance: z.string(),
		kind: z.enum(['engine', 'application']),
		pool: z.string(),
		region: z.string(),
		zone: z.string(),
		origin: z.string(),
		incarnation: z.string(),
		capacity: z.number(),
		checksFencing: z.boolean(),
	}),
	state,
});

export const listedInstanceSchema = z.union([routerSchema, targetSchema]);
