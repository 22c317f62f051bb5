/** Options that all bundles share. */
import type { BuildOptions } from 'esbuild'

export const bundleOptions: BuildOptions = {
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // cbor-x looks for an optional native module; its own switch turns that off.
  external: ['cbor-extract'],
  define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  logLevel: 'error'
}
