/** Validates the bodies of `POST /stand-in/faults`. */
import { z } from 'zod';
import type { Fault } from './fault.js';

const count = z.number().int().positive().optional();
const afterTokens = z.number().int().nonnegative().optional();

const faultSchema: z.ZodType<Fault> = z.discriminatedUnion('kind', [
	z.strictObject({ kind: z.literal('stall'), afterTokens, count }),
	z.strictObject({ kind: z.literal('cut'), afterTokens, count }),
	z.strictObject({ kind: z.literal('late'), delayMs: z.number().nonnegative(), count }),
	z.strictObject({ kind: z.literal('crossed'), count }),
	z.strictObject({
		kind: z.literal('crash'),
		at: z.enum(['before', 'during', 'after']),
		afterTokens,
		count,
	}),
	z.strictObject({ kind: z.literal('crash-marker'), marker: z.string().min(1), count }),
	z.strictObject({ kind: z.literal('refuse'), durationMs: z.number().positive(), count }),
	z.strictObject({ kind: z.literal('unreachable'), count }),
	z.strictObject({ kind: z.literal('shrink'), keep: z.number().int().nonnegative(), count }),
]);

/** Adds a fault, or clears all faults or those of one kind. */
export const faultCommandSchema = z.union([
	z.strictObject({ add: faultSchema }),
	z.strictObject({ clear: z.union([z.literal(true), z.string()]) }),
]);

export type FaultCommand = z.infer<typeof faultCommandSchema>;
