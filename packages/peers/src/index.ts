/** Public API of the peers package, which carries the control traffic between routers. */
export type { MembershipTiming } from './common/membershipTiming.js';
export { DEFAULT_MEMBERSHIP_TIMING } from './common/membershipTiming.js';
export type { TrafficDirection, TrafficTotals } from './common/trafficKind.js';
export { TRAFFIC_KINDS, TrafficKind } from './common/trafficKind.js';
export type { PeerNetworkOptions } from './node/createPeerNetwork.js';
export { createPeerNetwork } from './node/createPeerNetwork.js';
export type { GrpcPeerNetwork } from './node/grpcPeerNetwork.js';
export type { Logger as PeerLogger } from './node/logger.js';
export type { PeerSecurity, PeerTls } from './node/peerCredentials.js';
export { PlainAddressError } from './node/peerCredentials.js';
export type { SocketBytes } from './node/socketMeter.js';
