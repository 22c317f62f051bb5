/**
 * Builds dist/cyclamenshunt, a single executable that runs without node_modules.
 */
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, mkdirSync, mkdtempSync, renameSync, rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { build } from 'esbuild'
import { bundleOptions } from './bundle-options.ts'

const sentinelFuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'

/** Runs Node.js without printing its output; a failure throws an error that contains it. */
function runNode (args: string[]): void {
  execFileSync(process.execPath, args, { stdio: 'pipe' })
}

mkdirSync('dist', { recursive: true })
// Built in a separate folder and then renamed, so that a running executable is never overwritten in place.
const buildFolder = mkdtempSync('dist/build-')
const bundleFile = join(buildFolder, 'main.cjs')
const blobFile = join(buildFolder, 'sea.blob')
const seaConfigFile = join(buildFolder, 'sea.json')
const builtExecutable = join(buildFolder, 'cyclamenshunt')

await build({
  entryPoints: ['src/main.ts'],
  outfile: bundleFile,
  ...bundleOptions,
  external: [...bundleOptions.external ?? [], 'typescript', 'ts-node'],
  // oclif checks the Node.js version against its own package.json and would warn in the executable.
  // The executable contains its Node.js, so oclif's switch turns the warning off.
  define: { ...bundleOptions.define, 'process.env.OCLIF_DISABLE_ENGINE_WARNING': '"1"' }
})
writeFileSync(seaConfigFile, JSON.stringify({
  main: bundleFile,
  output: blobFile,
  disableExperimentalSEAWarning: true,
  useCodeCache: true
}))
runNode(['--experimental-sea-config', seaConfigFile])
copyFileSync(process.execPath, builtExecutable)
runNode(['node_modules/postject/dist/cli.js', builtExecutable, 'NODE_SEA_BLOB', blobFile, '--sentinel-fuse', sentinelFuse])
chmodSync(builtExecutable, 0o755)
renameSync(builtExecutable, 'dist/cyclamenshunt')
rmSync(buildFolder, { recursive: true })
