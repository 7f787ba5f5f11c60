/** Logging interface that the embedding process implements. */

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

export type Logger = (level: LogLevel, message: string) => void;
