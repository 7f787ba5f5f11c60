/** TLS credentials between routers of a fleet, or plaintext on loopback addresses if configured. */
import { isIP } from 'node:net';
import type { PeerCertificate } from 'node:tls';
import { ChannelCredentials, ServerCredentials } from '@grpc/grpc-js';

/** PEM-encoded. The certificate has the fleet name as a DNS subject alternative name. */
export interface PeerTls {
	readonly certificate: string;
	readonly key: string;
	readonly authority: string;
}

export type PeerSecurity =
	| { readonly kind: 'tls'; readonly tls: PeerTls }
	/** No encryption and no authentication; allowed on loopback addresses only. */
	| { readonly kind: 'plainLoopback' };

export class PlainAddressError extends Error {
	constructor(address: string) {
		super(`Traffic without TLS is allowed on loopback addresses only, not on ${address}.`);
		this.name = 'PlainAddressError';
	}
}

/** Throws `PlainAddressError` if `security` is plaintext and `address` is not a loopback address. */
export function assertAllowedAddress(security: PeerSecurity, address: string): void {
	if (security.kind === 'plainLoopback' && !isLoopback(address)) {
		throw new PlainAddressError(address);
	}
}

export function makeServerCredentials(security: PeerSecurity): ServerCredentials {
	if (security.kind === 'plainLoopback') {
		return ServerCredentials.createInsecure();
	}
	const { certificate, key, authority } = security.tls;
	const pair = { private_key: Buffer.from(key), cert_chain: Buffer.from(certificate) };
	return ServerCredentials.createSsl(Buffer.from(authority), [pair], true);
}

/** Creates client credentials. The server's certificate must name the fleet too. */
export function makeChannelCredentials(security: PeerSecurity, fleet: string): ChannelCredentials {
	if (security.kind === 'plainLoopback') {
		return ChannelCredentials.createInsecure();
	}
	const { certificate, key, authority } = security.tls;
	return ChannelCredentials.createSsl(Buffer.from(authority), Buffer.from(key), Buffer.from(certificate), {
		checkServerIdentity: (_host, peer) =>
			isFleetCertificate(peer, fleet)
				? undefined
				: new Error(`The certificate does not name the fleet ${fleet}.`),
	});
}

/** Whether a verified certificate names the fleet. */
export function isFleetCertificate(certificate: PeerCertificate | undefined, fleet: string): boolean {
	const names = certificate?.subjectaltname?.split(', ') ?? [];
	return names.includes(`DNS:${fleet}`);
}

function isLoopback(address: string): boolean {
	const host = address.slice(0, address.lastIndexOf(':')).replace(/^\[|\]$/g, '');
	return (isIP(host) === 4 && host.startsWith('127.')) || host === '::1';
}
