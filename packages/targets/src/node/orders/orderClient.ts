/** HTTP client that sends orders to engines and reads their order state. */
import type { EngineOrder, EngineOrderState, Result } from '@papayawell/core';
import { Err, Ok } from '@papayawell/core';
import { request } from 'undici';
import { z } from 'zod';

const ORDERS_PATH = '/orders';
const STATE_PATH = '/orders/state';
const READ_TIMEOUT_MS = 2000;
const CONFLICT = 409;
const GONE = 410;
const OK = 200;

export type OrderError =
	/** The engine has already accepted an order with a higher fencing token. */
	| { readonly kind: 'staleFencing' }
	| { readonly kind: 'expired' }
	| { readonly kind: 'refused'; readonly status: number }
	/** No usable response: the order may have been executed. */
	| { readonly kind: 'unanswered'; readonly message: string };

const stateSchema = z.object({
	/** Fencing token; engines that ignore fencing tokens may report none. */
	fencing: z.number().default(0),
	role: z.string(),
	models: z.record(z.string(), z.string()),
	adapters: z.record(z.string(), z.string()),
});

export interface OrderClient {
	/** Reads the role, models and adapters of the engine at `origin`. */
	readState(origin: string): Promise<Result<EngineOrderState, OrderError>>;
	/** Sends one order; returns the state of the engine after it. */
	send(origin: string, order: EngineOrder, timeoutMs: number): Promise<Result<EngineOrderState, OrderError>>;
}

export const httpOrderClient: OrderClient = {
	readState: (origin) => callEngine(`${origin}${STATE_PATH}`, undefined, READ_TIMEOUT_MS),
	send: (origin, order, timeoutMs) => callEngine(`${origin}${ORDERS_PATH}`, order, timeoutMs),
};

async function callEngine(
	url: string,
	order: EngineOrder | undefined,
	timeoutMs: number,
): Promise<Result<EngineOrderState, OrderError>> {
	try {
		const response = await request(url, {
			method: order === undefined ? 'GET' : 'POST',
			...(order === undefined ? {} : { body: JSON.stringify(order) }),
			signal: AbortSignal.timeout(timeoutMs),
		});
		const text = await response.body.text();
		return response.statusCode === OK ? decodeState(text) : Err(toOrderError(response.statusCode));
	} catch (error) {
		return Err({ kind: 'unanswered', message: String(error) });
	}
}

function decodeState(text: string): Result<EngineOrderState, OrderError> {
	const state = stateSchema.safeParse(JSON.parse(text));
	return state.success
		? Ok(state.data)
		: Err({ kind: 'unanswered', message: 'engine order state does not match the schema' });
}

function toOrderError(status: number): OrderError {
	switch (status) {
		case CONFLICT:
			return { kind: 'staleFencing' };
		case GONE:
			return { kind: 'expired' };
		default:
			return { kind: 'refused', status };
	}
}
