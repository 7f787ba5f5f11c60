import { createSocket } from 'node:dgram';
import { createServer } from 'node:net';
import { expect } from 'chai';
import { bindAt, listenAt } from '../../src/node/listenAt.js';

describe('listening socket', () => {
	// Guards against a process that ends because a connection could not be accepted.
	for (const [name, listen] of [
		['server', listenAt],
		['datagram socket', bindAt],
	] as const) {
		it(`a ${name} reports each of its errors, which would end the process otherwise`, async () => {
			const emitter = name === 'server' ? createServer() : createSocket('udp4');
			const errors: string[] = [];
			const onError = ({ message }: Error): void => {
				errors.push(message);
			};
			try {
				await listen(emitter as never, { address: '127.0.0.1:0', onError });
				emitter.emit('error', new Error('first'));
				emitter.emit('error', new Error('second'));
			} finally {
				emitter.close();
			}
			expect(errors).to.deep.equal(['first', 'second']);
		});
	}
});
