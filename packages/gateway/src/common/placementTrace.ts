/** Records the steps in which a target is chosen, so that an explanation can tell why each of the others was not. */
import type { TargetState } from './targetState.js';

/** Each step leaves fewer targets; the order is that in which they are taken. */
export type PlacementStep =
	/** It is known which zones are evacuated. */
	| 'unpaused'
	/** Its zone is in an allowed region and not evacuated. */
	| 'usable'
	/** It is not leaving and wants no pause. */
	| 'serving'
	| 'reachable'
	| 'healthy'
	/** It has not been excluded by the request, and has its version. */
	| 'allowed'
	| 'withinLoadLimit'
	/** Its prefill ends within the objective, or close to the shortest wait. */
	| 'withinObjective'
	/** It was one of the targets drawn at random, whose costs are compared. */
	| 'drawn'
	/** Its drawn load is within the load limit of the draw. */
	| 'drawnWithinLimit';

/** Called with the targets that are left after a step. */
export type StepRecorder = (step: PlacementStep, left: readonly TargetState[]) => void;

export class PlacementTrace {
	private readonly steps: { readonly step: PlacementStep; readonly left: ReadonlySet<TargetState> }[] = [];

	public readonly record: StepRecorder = (step, left) => {
		this.steps.push({ step, left: new Set(left) });
	};

	/** Finds the first step that did not leave the target; undefined if all did. */
	public findLastStep(target: TargetState): PlacementStep | undefined {
		return this.steps.find(({ left }) => !left.has(target))?.step;
	}
}
