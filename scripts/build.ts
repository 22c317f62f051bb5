/**
 * Builds dist/cyclamenshunt, one executable that needs no node_modules.
 */
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, mkdirSync, mkdtempSync, renameSync, rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { build } from 'esbuild'
import { bundleOptions } from './bundle-options.ts'

const fuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'

/** Runs Node.js quietly; what it printed stands in the error when it fails. */
function run (args: string[]): void {
  execFileSync(process.execPath, args, { stdio: 'pipe' })
}

mkdirSync('dist', { recursive: true })
// Built beside and renamed, so that a running executable is never written to.
const folder = mkdtempSync('dist/build-')
const bundle = join(folder, 'main.cjs')
const blob = join(folder, 'sea.blob')
const configuration = join(folder, 'sea.json')
const executable = join(folder, 'cyclamenshunt')

await build({
  entryPoints: ['src/main.ts'],
  outfile: bundle,
  ...bundleOptions,
  external: [...bundleOptions.external ?? [], 'typescript', 'ts-node'],
  // oclif reads its own package.json for a check of the Node.js version, which
  // the executable brings along; its own switch keeps it from warning there.
  define: { ...bundleOptions.define, 'process.env.OCLIF_DISABLE_ENGINE_WARNING': '"1"' }
})
writeFileSync(configuration, JSON.stringify({
  main: bundle,
  output: blob,
  disableExperimentalSEAWarning: true,
  useCodeCache: true
}))
run(['--experimental-sea-config', configuration])
copyFileSync(process.execPath, executable)
run(['node_modules/postject/dist/cli.js', executable, 'NODE_SEA_BLOB', blob, '--sentinel-fuse', fuse])
chmodSync(executable, 0o755)
renameSync(executable, 'dist/cyclamenshunt')
rmSync(folder, { recursive: true })
