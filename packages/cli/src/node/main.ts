/** Entry point of the `papayawell` command line: registers all commands and runs the one that the arguments select. */
import { Builtins, Cli } from 'clipanion';
import { BenchControlCommand } from './commands/benchControl.js';
import { OrdersCommand } from './commands/orders.js';
import { BenchCapacityCommand, BenchStateCommand } from './commands/benchCapacity.js';
import { BenchPathCommand } from './commands/benchPath.js';
import { DemoCommand } from './commands/demo.js';
import { ExplainCommand } from './commands/explain.js';
import { ExperimentFaultsCommand } from './commands/experimentFaults.js';
import { QuarantineListCommand, QuarantineReleaseCommand } from './commands/quarantine.js';
import { RulesApplyCommand, RulesRollbackCommand } from './commands/rulesApply.js';
import { RouterCommand } from './commands/router.js';
import { ExperimentConfigCommand } from './commands/experimentConfig.js';
import { LoadCommand } from './commands/load.js';
import { RulesCheckCommand } from './commands/rulesCheck.js';
import { RulesDiffCommand, RulesHistoryCommand, RulesShowCommand } from './commands/rulesShow.js';
import {
	StandInApplicationCommand,
	StandInEngineCommand,
	StandInInstanceListCommand,
	StandInKeyValueCommand,
} from './commands/standIn.js';
import { ReplayCommand } from './commands/replay.js';
import { TraceGenerateCommand } from './commands/traceGenerate.js';
import { EXIT_BAD_INPUT, WhereCommand } from './commands/where.js';

const cli = new Cli({ binaryLabel: 'papayawell', binaryName: 'papayawell', binaryVersion: '0.1.0' });
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
cli.register(BenchControlCommand);
cli.register(OrdersCommand);
cli.register(BenchCapacityCommand);
cli.register(BenchPathCommand);
cli.register(BenchStateCommand);
cli.register(DemoCommand);
cli.register(ExplainCommand);
cli.register(ExperimentFaultsCommand);
cli.register(ExperimentConfigCommand);
cli.register(QuarantineListCommand);
cli.register(QuarantineReleaseCommand);
cli.register(RulesApplyCommand);
cli.register(RouterCommand);
cli.register(LoadCommand);
cli.register(RulesCheckCommand);
cli.register(RulesDiffCommand);
cli.register(RulesHistoryCommand);
cli.register(RulesRollbackCommand);
cli.register(RulesShowCommand);
cli.register(StandInEngineCommand);
cli.register(StandInApplicationCommand);
cli.register(StandInKeyValueCommand);
cli.register(StandInInstanceListCommand);
cli.register(ReplayCommand);
cli.register(TraceGenerateCommand);
cli.register(WhereCommand);

const words = process.argv.slice(2);
const exitCode = await cli.run(words);
// Errors of syntax end with 1, which of this command means that the instance does not answer.
process.exitCode = words[0] === 'where' && !hasValidSyntax() ? EXIT_BAD_INPUT : exitCode;

function hasValidSyntax(): boolean {
	try {
		cli.process(words);
		return true;
	} catch {
		return false;
	}
}
