/** esbuild options that all bundles share. */
import type { BuildOptions } from 'esbuild'

export const bundleOptions: BuildOptions = {
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // cbor-x tries to load the optional native module cbor-extract; this variable turns that off.
  external: ['cbor-extract'],
  define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  logLevel: 'error'
}
