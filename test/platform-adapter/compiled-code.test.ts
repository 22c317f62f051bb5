/** The compiled code of a node's program. */
import { spawnSync } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { readNodeFlags } from '../../scripts/node-flags.ts'
import { buildProgram } from './build-program.ts'

const reporterSource = `
  const vm = require('node:vm')
  const { Script } = vm
  vm.Script = class extends Script {
    constructor (source, options) {
      super(source, options)
      process.on('exit', () => require('node:fs').writeSync(2, 'rejected ' + this.cachedDataRejected))
    }
  }`

// Guards against a start that compiles the whole program, because a flag of the run command, or one that the launcher sets, differs from those of the build.
test('V8 accepts the compiled code under the flags of the run command', t => {
  const folder = mkdtempSync(join(tmpdir(), 'compiled-code-'))
  t.teardown(() => rmSync(folder, { recursive: true }))
  const reporter = join(folder, 'reporter.cjs')
  writeFileSync(reporter, reporterSource)
  // Without its settings, the node ends as soon as it is loaded.
  const { stderr } = spawnSync(process.execPath, [...readNodeFlags(), '--require', reporter, buildProgram()], { env: { CYCLAMENSHUNT_SETTINGS: join(folder, 'missing') }, encoding: 'utf8' })
  t.regex(stderr, /rejected false$/)
})

// Guards against compiled code of Node.js's own modules that is rejected, which shows in no result: their functions are then compiled at each start.
test('the launcher resets each flag of the run command', t => {
  const folder = mkdtempSync(join(tmpdir(), 'launcher-flags-'))
  t.teardown(() => rmSync(folder, { recursive: true }))
  const reporter = join(folder, 'reporter.cjs')
  writeFileSync(reporter, `
    const v8 = require('node:v8')
    const { setFlagsFromString } = v8
    v8.setFlagsFromString = flag => {
      setFlagsFromString(flag)
      require('node:fs').writeSync(2, 'flag ' + flag + '\\n')
    }`)
  const { stderr } = spawnSync(process.execPath, [...readNodeFlags(), '--require', reporter, buildProgram()], { env: { CYCLAMENSHUNT_SETTINGS: join(folder, 'missing') }, encoding: 'utf8' })
  const flags = readNodeFlags().map(flag => flag.split('=')[0])
  t.true(flags.length > 0)
  for (const flag of flags) t.true(stderr.includes(`flag ${flag}=0\n`), `${flag} is not reset: ${stderr}`)
})
