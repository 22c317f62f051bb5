/**
 * Builds the node on the platform: target/cyclamenshunt.cjs, one file with
 * only what it uses, and beside it the compiled code, so that a restart
 * doesn't compile it again. Another folder may be named.
 */
import { execFileSync } from 'node:child_process'
import { join } from 'node:path'
import { build } from 'esbuild'
import { bundleOptions } from './bundle-options.ts'
import type { Plugin } from 'esbuild'

const folder = process.argv[2] ?? 'target'
const bundle = join(folder, 'node.cjs')
const starter = join(folder, 'cyclamenshunt.cjs')

/** Leaves out what a library's entry exports beside the parts that the node uses. */
const slimLibraries: Plugin = {
  name: 'slim-libraries',
  setup: builder => {
    builder.onResolve({ filter: /^undici$/ }, () => ({ path: 'undici', namespace: 'slim' }))
    builder.onLoad({ filter: /^undici$/, namespace: 'slim' }, () => ({
      contents: `
        require('undici/lib/dispatcher/dispatcher.js').prototype.request = require('undici/lib/api/api-request.js')
        exports.buildConnector = require('undici/lib/core/connect.js')
        exports.Client = require('undici/lib/dispatcher/client.js')
        exports.Pool = require('undici/lib/dispatcher/pool.js')`,
      resolveDir: process.cwd()
    }))
    // Only English messages are shown, and they don't come by this table.
    builder.onLoad({ filter: /zod\/v4\/locales\/index\.js$/ }, () => ({ contents: 'export {}' }))
  }
}

await build({ ...bundleOptions, entryPoints: ['platform/main.ts'], outfile: bundle, plugins: [slimLibraries] })
await build({ ...bundleOptions, entryPoints: ['platform/start.ts'], outfile: starter })
// V8 takes compiled code only under the flags that it was compiled with: none, as in deploy/system.toml.
execFileSync(process.execPath, [starter, 'compile'], { stdio: 'inherit' })
