import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { PeerTransport } from '../../src/node/peerTransport.js';

const PART = Buffer.alloc(1_048_576, ' ');
/** Far below the memory of a process, with what the buffers of the kernel hold. */
const MAX_READ_BYTES = 100_000_000;

describe('PeerTransport', () => {
	// Guards against a process that is killed for its memory while it reads a document that does not end.
	it('gives up a document without end before it takes much memory', async () => {
		let sentBytes = 0;
		const peer = createServer((_, response) => {
			const send = (): void => {
				do {
					sentBytes += PART.length;
				} while (!response.destroyed && sentBytes <= MAX_READ_BYTES && response.write(PART));
			};
			response.on('drain', send);
			send();
		});
		await new Promise<void>((resolve) => peer.listen(0, '127.0.0.1', resolve));
		const errors: string[] = [];
		const transport = new PeerTransport({
			address: '127.0.0.1:0',
			onState: () => false,
			listRelayRecipients: () => [],
			onDidSend: () => undefined,
			onMessage: () => undefined,
			documents: {},
			onRelayedRequest: () => false,
			onError: (detail) => errors.push(detail),
		});
		const { port } = peer.address() as AddressInfo;
		const document = await transport.fetch(`127.0.0.1:${port}`, '/prompts');
		transport.dispose();
		peer.close();
		peer.closeAllConnections();
		expect(document).to.equal(undefined);
		expect(errors.join()).to.include('too long');
		expect(sentBytes).to.be.below(MAX_READ_BYTES);
	});
});
