/**
 * Builds the platform's node: the launcher target/cyclamenshunt.cjs, the
 * bundle node.cjs beside it, and V8's compiled code, so that a restart doesn't
 * compile the bundle again. The first argument replaces the folder `target`.
 */
import { execFileSync } from 'node:child_process'
import { join } from 'node:path'
import { build } from 'esbuild'
import { bundleOptions } from './bundle-options.ts'
import { readNodeFlags } from './node-flags.ts'
import type { BuildOptions, Plugin } from 'esbuild'

const outputFolder = process.argv[2] ?? 'target'
const bundleFile = join(outputFolder, 'node.cjs')
const starterFile = join(outputFolder, 'cyclamenshunt.cjs')

/** Replaces library entry points by ones that export only what the node uses, which keeps the bundle small. */
const trimLibraries: Plugin = {
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
    // The node sends only HTTP/1.1, so the client of HTTP/2 and its modules of Node.js are never used.
    builder.onLoad({ filter: /undici\/lib\/dispatcher\/client-h2\.js$/ }, () => ({ contents: 'module.exports = () => { throw new Error(\'HTTP/2 is not part of this program\') }' }))
    // Of histograms, the node uses neither their text and wire formats nor those in WebAssembly.
    builder.onResolve({ filter: /^hdr-histogram-js$/ }, () => ({ path: 'hdr-histogram-js', namespace: 'slim' }))
    builder.onLoad({ filter: /^hdr-histogram-js$/, namespace: 'slim' }, () => ({ contents: 'exports.build = require(\'hdr-histogram-js/dist/HistogramBuilder.js\').build', resolveDir: process.cwd() }))
    builder.onLoad({ filter: /hdr-histogram-js\/dist\/wasm\/index\.js$/ }, () => ({ contents: 'exports.webAssemblyAvailable = false' }))
    builder.onResolve({ filter: /^prom-client$/ }, () => ({ path: 'prom-client', namespace: 'slim' }))
    builder.onLoad({ filter: /^prom-client$/, namespace: 'slim' }, () => ({
      contents: `
        exports.Counter = require('prom-client/lib/counter.js')
        exports.Gauge = require('prom-client/lib/gauge.js')
        exports.Registry = require('prom-client/lib/registry.js')`,
      resolveDir: process.cwd()
    }))
    // Only used by the log of the product's own interface, which the bundle doesn't contain.
    builder.onResolve({ filter: /^winston$/ }, ({ path, resolveDir, pluginData }) => pluginData === 'resolved' ? undefined : builder.resolve(path, { resolveDir, kind: 'import-statement', pluginData: 'resolved' }).then(({ path: resolved }) => ({ path: resolved, sideEffects: false })))
    // The node shows English messages only, and zod doesn't load those through this table of locales.
    builder.onLoad({ filter: /zod\/v4\/locales\/index\.js$/ }, () => ({ contents: 'export {}' }))
  }
}

// The option that keeps names defines the name of a function each time that a closure is created, also for each request. Identifiers that aren't shortened keep them at no cost.
const nodeOptions: BuildOptions = { ...bundleOptions, minify: false, minifyWhitespace: true, minifySyntax: true, keepNames: false }
await build({ ...nodeOptions, entryPoints: ['platform/main.ts'], outfile: bundleFile, plugins: [trimLibraries] })
await build({ ...bundleOptions, entryPoints: ['platform/start.ts'], outfile: starterFile })
// V8 accepts compiled code only under the flags it was compiled with.
execFileSync(process.execPath, [...readNodeFlags(), starterFile, 'compile'], { stdio: 'inherit' })
