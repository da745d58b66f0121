// Bundles the platform's process and all it uses into target/parsleywood.cjs.
import {existsSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import {build} from 'esbuild';

const SCHEMA = '@parsleywood/schema/';

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

const root = join(import.meta.dirname, '..');
if (!existsSync(join(root, 'packages')) || readdirSync(root).length === 0) {
  throw new Error(`no packages below ${root}`);
}
await build({
  entryPoints: [join(root, 'platform/src/main.ts')],
  outfile: join(root, 'target/parsleywood.cjs'),
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
