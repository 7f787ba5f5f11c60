/** Plans the orders of one pool: the difference between the configuration and the engines' reports. */
import { hashText } from '../base/hash.js';
import type { ModelPlacement } from '../rules/rules.js';
import type { EngineCommand, EngineOrderState } from './engineOrder.js';

/** Version of a model or adapter for which the configuration specifies none. */
export const DEFAULT_MODEL_VERSION = 'latest';
const VERSION_SEPARATOR = '@';

/**
 * Selects the engines that should load a placement by rendezvous hashing: an engine that joins or leaves
 * moves only the replicas that it takes or had.
 */
export function selectReplicaEngines(
	placement: ModelPlacement,
	instances: readonly string[],
): readonly string[] {
	return [...instances]
		.map((instance) => ({ instance, score: hashText(`${placement.model}/${instance}`) }))
		.sort((a, b) => (a.score === b.score ? 0 : a.score > b.score ? -1 : 1))
		.slice(0, placement.replicas)
		.map(({ instance }) => instance);
}

/**
 * Lists the commands that `instance` still needs. Nothing is unloaded: engines are shared with the older
 * system and evict models by themselves.
 */
export function planOrders(
	placements: readonly ModelPlacement[],
	instances: readonly string[],
	instance: string,
	state: EngineOrderState,
): readonly EngineCommand[] {
	return placements
		.filter((placement) => selectReplicaEngines(placement, instances).includes(instance))
		.flatMap((placement) => listCommands(placement))
		.filter((command) => !isApplied(command, state));
}

function listCommands(placement: ModelPlacement): readonly EngineCommand[] {
	const version = placement.version ?? DEFAULT_MODEL_VERSION;
	const commands: EngineCommand[] = [{ kind: 'load-model', name: placement.model, version }];
	for (const adapter of placement.adapters) {
		const [name = '', adapterVersion = version] = adapter.split(VERSION_SEPARATOR);
		commands.push({ kind: 'load-adapter', name, version: adapterVersion });
	}
	if (placement.role !== undefined) {
		commands.push({ kind: 'set-role', role: placement.role });
	}
	return commands;
}

function isApplied(command: EngineCommand, state: EngineOrderState): boolean {
	switch (command.kind) {
		case 'load-model':
			return state.models[command.name] === command.version;
		case 'load-adapter':
			return state.adapters[command.name] === command.version;
		case 'set-role':
			return state.role === command.role;
	}
}
