/** Messages of configuration exchange: versions are announced, and documents are fetched on demand. */

export interface ConfigurationVersion {
	readonly version: number;
	/** Hash of the document, 16 hexadecimal digits. */
	readonly hash: string;
}

export interface ConfigurationFetch {
	/** Lowest version that the requester accepts. */
	readonly version: number;
	/** Version that the requester holds, as the base of a delta; version 0 if it holds none. */
	readonly base: ConfigurationVersion;
}

/**
 * One part of a compressed document or, if `baseVersion` is not 0, of a compressed delta against that
 * version.
 */
export interface Transfer {
	readonly version: number;
	readonly hash: string;
	readonly baseVersion: number;
	/** Index of the part, from 0. */
	readonly index: number;
	readonly isLast: boolean;
	readonly data: Uint8Array;
}
