/** Event log of a process: writes Roarr records to standard output, limited in volume and without blocking. */
import type { Disposable } from '@papayawell/core';
import type { EventLog, LogClass, LogFields } from '../common/eventLog.js';
import { LogRateLimiter } from '../common/logRateLimiter.js';
import { BoundedWriter, openStandardOutput } from './boundedWriter.js';

/** How often the number of dropped lines is logged. */
const DROP_REPORT_INTERVAL_MS = 5000;

export interface ProcessLog extends EventLog, Disposable {
	/** Number of lines dropped since the start. */
	readonly droppedLines: number;
}

/** Opens the log. `context` is added to every record. */
export async function openProcessLog(context: LogFields): Promise<ProcessLog> {
	// Roarr reads this variable only when it is loaded, and does not write unless it is set.
	process.env.ROARR_LOG ??= 'true';
	const { Roarr, ROARR } = await import('roarr');
	const writer = new BoundedWriter(openStandardOutput());
	const budget = new LogRateLimiter();
	let droppedLines = 0;
	ROARR.write = (line) => {
		if (!writer.append(`${line}\n`)) {
			budget.recordDropped();
		}
	};
	const logger = Roarr.child(removeUndefined(context));
	const write = (logClass: LogClass, event: string, fields: LogFields): void => {
		if (!budget.tryAcquire(logClass, performance.now())) {
			return;
		}
		if (logClass === 'decision') {
			logger.warn(removeUndefined(fields), event);
		} else {
			logger.info(removeUndefined(fields), event);
		}
	};
	const dropReportTimer = setInterval(() => {
		const dropped = budget.takeDroppedCount();
		if (dropped > 0) {
			droppedLines += dropped;
			write('state', 'logLinesDropped', { lines: dropped });
		}
	}, DROP_REPORT_INTERVAL_MS);
	dropReportTimer.unref();
	return {
		write,
		get droppedLines() {
			return droppedLines;
		},
		dispose: () => {
			clearInterval(dropReportTimer);
			writer.flush();
		},
	};
}

function removeUndefined(fields: LogFields): Record<string, string | number | boolean> {
	const defined: Record<string, string | number | boolean> = {};
	for (const [name, value] of Object.entries(fields)) {
		if (value !== undefined) {
			defined[name] = value;
		}
	}
	return defined;
}
