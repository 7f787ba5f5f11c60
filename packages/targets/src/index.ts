/** Public interface of the targets package: calls to engines and applications, and orders to engines. */
export * from './common/responseSink.js';
export * from './common/resumeRequest.js';
export * from './common/targetCall.js';
export { TokenStream } from './common/tokenStream.js';
export type { ResumeMode } from './common/tokenStream.js';
export * from './node/attempt.js';
export * from './node/attemptSeries.js';
export * from './node/probe.js';
export * from './node/targetClient.js';
export type { OrderClient, OrderError } from './node/orders/orderClient.js';
export { httpOrderClient } from './node/orders/orderClient.js';
export type { OrderHolderOptions, OrderHolderStatus } from './node/orders/orderHolder.js';
export { OrderHolder } from './node/orders/orderHolder.js';
export type { OrderEvent, RoundOutcome } from './node/orders/orderRound.js';
export type { OrderServiceOptions } from './node/orders/orderService.js';
export { OrderService } from './node/orders/orderService.js';
export { isRefusingConnections } from './node/probe.js';
