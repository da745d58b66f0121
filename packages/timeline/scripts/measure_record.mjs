// Measures the CPU time per recorded event once the ring buffer is full.
import {Timeline, TimelineEventName} from '@parsleywood/timeline';

const EVENTS = 2_000_000;
const WARM_UP_EVENTS = 200_000;
const MAX_EVENTS = 50_000;
const MAX_BYTES = 16_000_000;
const RUNS = 5;

const timeline = new Timeline({
  self: {host: 'entry-1', id: '1-entry-1'},
  maxEvents: MAX_EVENTS,
  maxBytes: MAX_BYTES,
});

function record(events) {
  for (let i = 0; i < events; i++) {
    const fields = {upstream: 'engine-1', attempt: 1, promptTokens: i};
    const requestId = 'request-' + (i >> 3);
    timeline.record(
      TimelineEventName.ATTEMPT_STARTED,
      Date.now(),
      requestId,
      fields,
    );
  }
}

record(WARM_UP_EVENTS);
const cpuMicroseconds = [];
for (let i = 0; i < RUNS; i++) {
  const startUsage = process.cpuUsage();
  record(EVENTS);
  const used = process.cpuUsage(startUsage);
  cpuMicroseconds.push((used.user + used.system) / EVENTS);
}
cpuMicroseconds.sort((a, b) => a - b);
console.log(JSON.stringify({microsecondsPerRecord: cpuMicroseconds}));
