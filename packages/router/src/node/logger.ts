/** Structured logs through roarr; every message is prefixed with the name of its component. */
import type { Logger as RoarrLogger } from 'roarr';

export const LogLevel = { Debug: 'debug', Info: 'info', Warn: 'warn', Error: 'error' } as const;
export type LogLevel = (typeof LogLevel)[keyof typeof LogLevel];

const LEVEL_ORDER: Readonly<Record<LogLevel, number>> = { debug: 0, info: 1, warn: 2, error: 3 };

export type LogDetails = Readonly<Record<string, string | number | boolean>>;

/** Writes one log record; `details` become fields of the record. */
export type Logger = (level: LogLevel, message: string, details?: LogDetails) => void;

let activeLog: RoarrLogger | undefined;

/** Makes the logger of one component, named by `prefix`. It drops all messages until the log is opened. */
export function makeLogger(prefix: string, context: LogDetails, minLevel: LogLevel): Logger {
	return (level, message, details = {}) => {
		if (LEVEL_ORDER[level] >= LEVEL_ORDER[minLevel]) {
			activeLog?.[level]({ ...context, part: prefix, ...details }, `${prefix}: ${message}`);
		}
	};
}

/** Opens the log for all loggers, which then write one JSON document per line. Called by daemons only. */
export async function openLog(write: (line: string) => void): Promise<void> {
	// Roarr reads ROARR_LOG when its module is loaded.
	process.env.ROARR_LOG ??= 'true';
	const { Roarr, ROARR } = await import('roarr');
	ROARR.write = (line) => {
		write(`${line}\n`);
	};
	activeLog = Roarr;
}
