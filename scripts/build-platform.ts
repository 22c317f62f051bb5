/** Builds target/cyclamenshunt.cjs, the node on the platform in one file. */
import { build } from 'esbuild'

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/cyclamenshunt.cjs',
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  external: ['cbor-extract'],
  define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  logLevel: 'error'
})
