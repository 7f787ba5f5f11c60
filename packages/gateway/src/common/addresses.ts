/** Checks, parses and samples the addresses (IP address and port) of instances and targets. */

export interface HostAndPort {
	readonly host: string;
	readonly port: number;
}

const ADDRESS_PATTERN =
	/^(0|[1-9]\d{0,2})\.(0|[1-9]\d{0,2})\.(0|[1-9]\d{0,2})\.(0|[1-9]\d{0,2}):([1-9]\d{0,4})$/;

/** Whether a value is an IPv4 address with a port that can be connected to; the runtime throws for other ports. */
export function isAddress(value: unknown): value is string {
	const match = typeof value === 'string' ? ADDRESS_PATTERN.exec(value) : null;
	return (
		match !== null && match.slice(1, 5).every((part) => Number(part) <= 255) && Number(match[5]) <= 65_535
	);
}

export function splitAddress(address: string): HostAndPort {
	const colon = address.lastIndexOf(':');
	return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/**
 * Selects up to `count` addresses at even intervals over the list.
 * @param offset random number in [0, 1) that determines where the sample starts
 */
export function sampleAddresses(
	addresses: readonly string[],
	count: number,
	offset: number,
): readonly string[] {
	if (addresses.length <= count) {
		return addresses;
	}
	const start = Math.floor(offset * addresses.length);
	const step = addresses.length / count;
	return Array.from(
		{ length: count },
		(_, index) => addresses[Math.floor(start + index * step) % addresses.length],
	).filter((address) => address !== undefined);
}
