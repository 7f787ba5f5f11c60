/** Public interface of the callers package: the HTTP server that accepts requests from callers. */
export * from './common/callerRequest.js';
export * from './common/entries.js';
export * from './common/generationBody.js';
export * from './common/problems.js';
export * from './common/requestHeaders.js';
export * from './node/responseWriter.js';
export * from './node/callersServer.js';
