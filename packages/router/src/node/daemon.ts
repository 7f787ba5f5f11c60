/** Runs the router as a process: opens the log, starts the router and shuts it down on signals. */
import type { RouterSettings } from '@papayawell/core';
import { RouterMetrics } from '@papayawell/operators';
import type { Logger } from './logger.js';
import { makeLogger, openLog } from './logger.js';
import type { Router } from './router.js';
import { createRouter } from './router.js';

/** Exit codes of the daemon. */
export const ExitCode = { Stopped: 0, Failed: 1, Forced: 2 } as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** Runs a router until it has shut down; resolves with the exit code. */
export async function runDaemon(settings: RouterSettings): Promise<ExitCode> {
	await openLog((line) => process.stdout.write(line));
	const log = makeLogger('router', { instance: settings.instance }, settings.logLevel);
	let router: Router;
	try {
		router = await createRouter(settings, new RouterMetrics({ collectsProcessMetrics: true }));
	} catch (error) {
		log('error', 'The router failed to start.', { reason: String(error) });
		return ExitCode.Failed;
	}
	log('info', 'The router accepts requests.', { callers: router.callersAddress, admin: router.adminAddress });
	return waitForEnd(router, log);
}

async function waitForEnd(router: Router, log: Logger): Promise<ExitCode> {
	let isFirst = true;
	const handleSignal = (signal: NodeJS.Signals): void => {
		if (isFirst) {
			isFirst = false;
			log('info', 'Signal received; the router is draining.', { signal });
			router.drain();
			return;
		}
		log('warn', 'Second signal received; closing all connections.', { signal });
		router.stopNow();
	};
	process.on('SIGTERM', handleSignal);
	process.on('SIGINT', handleSignal);
	const end = await router.ended;
	if (end.kind === 'forced') {
		log('warn', 'The router stopped before all requests in flight had completed.', {
			cutRequests: end.cutRequests,
		});
		return ExitCode.Forced;
	}
	log('info', 'The router stopped.');
	return ExitCode.Stopped;
}
