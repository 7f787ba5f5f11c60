import { expect } from 'chai';
import { GatewayMetrics } from '../../src/node/gatewayMetrics.js';

describe('GatewayMetrics', () => {
	it('counts observations from before the first scrape and after it', async () => {
		const gauges = {
			configurationVersion: 7,
			targetsAgeMs: 500,
			peers: 3,
			evacuatedZones: 0,
			coldTargets: 0,
			peerStateAgeMs: 250,
			sentGossipBytes: { withinZone: 900, betweenZones: 70 },
			droppedLogLines: 0,
			waiting: 0,
			heldBytes: 640,
			heldBytesLimit: 1000,
			targetSends: [{ service: 's', target: 'x', requests: 4 }],
		};
		const metrics = new GatewayMetrics(() => gauges);
		metrics.countRequest('read', 'answered');
		metrics.observeLatency('idempotent', 'whole', 50);
		metrics.countDecision('retry');
		metrics.observeReportAge('s', 50);
		await metrics.render();
		metrics.countRequest('read', 'answered');
		const { text } = await metrics.render();
		expect(text).to.contain('papayawell_requests_total{route="read",outcome="answered"} 2');
		expect(text).to.contain('papayawell_answer_seconds_bucket{le="0.06",kind="idempotent",stage="whole"} 1');
		expect(text).to.contain('papayawell_decisions_total{event="retry"} 1');
		expect(text).to.contain('papayawell_load_report_age_seconds_bucket{le="0.05",service="s"} 1');
		expect(text).to.contain('papayawell_target_sends{service="s",target="x"} 4');
		expect(text).to.contain('papayawell_configuration_version 7');
		expect(text).to.contain('papayawell_targets_age_seconds 0.5');
		expect(text).to.contain('papayawell_held_bytes 640');
		expect(text).to.contain('papayawell_held_bytes_limit 1000');
		expect(text).to.contain('papayawell_peer_state_age_seconds 0.25');
		expect(text).to.contain('papayawell_gossip_bytes_total{scope="betweenZones"} 70');
	});
});
