/** Orders to engines: load a model, load an adapter or change the role. */

export const EngineRole = { Mixed: 'mixed', Prefill: 'prefill', Decode: 'decode' } as const;
export type EngineRole = (typeof EngineRole)[keyof typeof EngineRole];

export type EngineCommand =
	| { readonly kind: 'load-model'; readonly name: string; readonly version: string }
	| { readonly kind: 'load-adapter'; readonly name: string; readonly version: string }
	| { readonly kind: 'set-role'; readonly role: EngineRole };

export interface EngineOrder {
	/** Fencing token: increases with every change of holder; engines that check it refuse lower ones. */
	readonly fencing: number;
	/** Time after which the order must not be executed, epoch ms. */
	readonly expiresAtMs: number;
	readonly command: EngineCommand;
}

/** Role, models and adapters that an engine reports. */
export interface EngineOrderState {
	/** Highest fencing token that the engine has seen. */
	readonly fencing: number;
	readonly role: string;
	/** Versions by name. */
	readonly models: Readonly<Record<string, string>>;
	readonly adapters: Readonly<Record<string, string>>;
}

/** Whether a command makes the engine read model weights from the weight store. */
export function isWeightLoad(command: EngineCommand): boolean {
	switch (command.kind) {
		case 'load-model':
		case 'load-adapter':
			return true;
		case 'set-role':
			return false;
	}
}
