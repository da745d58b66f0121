#!/usr/bin/env node
// Stands in the repository so that npm can link it before the first build.
// A change of the settings that is told before the gateway listens must not end it; a
// signal that comes while it is loaded is handled by the gateway afterwards.
process.on('SIGHUP', () => undefined);
await import('../dist/gateway_main.js');
