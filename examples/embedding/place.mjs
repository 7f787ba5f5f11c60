// Embeds placement and configuration of the core package in a process of its own, without the router daemon.
// Run after `npm run build`.
import {
	ConfigurationAdopter,
	PoolPlacer,
	createNextDocument,
	createPolicy,
	encodeConfiguration,
} from '@papayawell/core';

const rules =
	'rule plans kind=generation -> pool=drafting affinity=chat bound=1.5 # requested by the example\n';
const change = {
	changeId: 'c1',
	who: 'example',
	why: 'first rules',
	at: new Date(0).toISOString(),
	text: rules,
};
const encoded = encodeConfiguration(createNextDocument(undefined, change));
if (encoded.err) {
	throw new Error(`The document was refused: ${encoded.val.kind}.`);
}

const adopter = new ConfigurationAdopter();
const adopted = adopter.offer(encoded.val, 'peer');
console.log(`configuration: ${adopted.kind}, version ${adopter.version}`);
console.log(`the same document again: ${adopter.offer(encoded.val, 'peer').kind}`);

const placer = new PoolPlacer({ policy: createPolicy('report'), self: 'router-1' });
const engines = ['engine-1', 'engine-2', 'engine-3'];
placer.setTargets(
	engines.map((instance) => ({ instance, zone: 'a', capacity: 8, weight: 1, acceptsNew: true })),
);
for (const instance of engines) {
	placer.noteLoad({ instance, requests: 0, versionMs: Date.now() });
}

const loadBound = adopter.inForce.ruleSet.rules[0].loadBound;
for (const chat of ['family-1', 'family-2', 'family-1']) {
	const decision = placer.place({ key: chat, loadBound, excluded: new Set() }, Date.now());
	if (decision.kind === 'send') {
		placer.noteSent(decision, chat, Date.now());
	}
	console.log(`${chat}: ${decision.kind} ${decision.instance ?? ''}`);
}
