import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import type {Emulation} from './emulation.js';

const COLORS = ['#1b6ca8', '#c2571a', '#3a7d44', '#7b3f8c'];
const SECONDS_PER_WINDOW = 2;

/** Writes a page with the worth of each window by policy; it needs no network. */
export function writeReport(emulations: readonly Emulation[]): string {
  const require = createRequire(import.meta.url);
  const library = readFileSync(
    require.resolve('chart.js').replace(/[^/]+$/, 'chart.umd.js'),
    'utf8',
  );
  const [first] = emulations;
  const data = {
    labels: first?.windows.map((_window, at) => at * SECONDS_PER_WINDOW) ?? [],
    datasets: emulations.map(({policy, windows, worth}, at) => ({
      label: `${policy}: ${worth.toFixed(3)}`,
      data: windows,
      borderColor: COLORS[at % COLORS.length],
    })),
  };
  const chart = {
    type: 'line',
    data,
    options: {
      scales: {
        x: {title: {display: true, text: 'seconds'}},
        y: {min: 0, max: 1, title: {display: true, text: 'worth earned'}},
      },
    },
  };
  const title = `${first?.pattern ?? ''}, seed ${first?.seed ?? ''}`;
  return `<!doctype html>
<meta charset="utf-8">
<title>${title}</title>
<h1>${title}</h1>
<canvas id="worth"></canvas>
<script>${library}</script>
<script>new Chart(document.getElementById('worth'), ${JSON.stringify(chart)});</script>
`;
}
