/**
 * Builds dist/cyclamenshunt, one executable that needs no node_modules.
 */
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from 'node:fs'
import { build } from 'esbuild'

const fuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'

mkdirSync('dist', { recursive: true })
await build({
  entryPoints: ['src/main.ts'],
  outfile: 'dist/main.cjs',
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  external: ['typescript', 'ts-node'],
  logLevel: 'error'
})
writeFileSync('dist/sea.json', JSON.stringify({
  main: 'dist/main.cjs',
  output: 'dist/sea.blob',
  disableExperimentalSEAWarning: true,
  useCodeCache: true
}))
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], { stdio: 'inherit' })
copyFileSync(process.execPath, 'dist/cyclamenshunt')
execFileSync(process.execPath, [
  'node_modules/postject/dist/cli.js', 'dist/cyclamenshunt', 'NODE_SEA_BLOB', 'dist/sea.blob', '--sentinel-fuse', fuse
], { stdio: 'inherit' })
chmodSync('dist/cyclamenshunt', 0o755)
