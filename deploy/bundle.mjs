// Bundles the platform's process and all it uses into target/. A small start file
// loads the bundle with V8's compiled code, as a start is charged as work.
import {join} from 'node:path';
import {build} from 'esbuild';

const SCHEMA = '@parsleywood/schema/';
const root = join(import.meta.dirname, '..');
const target = join(root, 'target');

/** Finds the sources of this workspace's packages, so that no build is needed. */
const workspaceSources = {
  name: 'workspace-sources',
  setup(bundle) {
    bundle.onResolve({filter: /^@parsleywood\//}, ({path}) => {
      if (path.startsWith(SCHEMA)) {
        const name = path.slice(SCHEMA.length);
        return {
          path: join(root, 'packages/schema/src/generated', `${name}.ts`),
        };
      }
      const name = path.slice('@parsleywood/'.length);
      return {path: join(root, 'packages', name, 'src/index.ts')};
    });
  },
};

await build({
  entryPoints: [join(root, 'platform/src/main.ts')],
  outfile: join(target, 'parsleywood.bundle.js'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // Less to parse at the start, which is charged; names stay for stack traces.
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'none',
  logLevel: 'warning',
  plugins: [workspaceSources],
});
await build({
  entryPoints: [join(root, 'platform/src/start.ts')],
  outfile: join(target, 'parsleywood.cjs'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  logLevel: 'warning',
});
