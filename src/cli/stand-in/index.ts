import { Args, Flags } from '@oclif/core'
import { createError } from '../../core/errors/index.ts'
import { standIns } from '../../stand-ins/index.ts'
import type { RunningStandIn, StandInKind } from '../../stand-ins/index.ts'
import { BaseCommand } from '../base-command.ts'
import { waitForStopSignal } from '../stop-signal.ts'
import { readStandInOptions } from './read-options.ts'

type StartStandIn = (options: object) => Promise<RunningStandIn>

/** Runs a simulated platform service or backend server. */
export default class StandIn extends BaseCommand {
  static override summary = 'Run a stand-in (simulation) of a platform service or a backend server.'
  static override description = 'For tests and experiments only. Faults and timings are given as YAML in --options; ' +
    'the kinds and their options are defined in src/stand-ins. Stops on SIGTERM or SIGINT. Exit codes: 0 stopped, 2 usage, 3 invalid options.'

  static override examples = [
    '<%= config.bin %> stand-in key-value --port 9400',
    '<%= config.bin %> stand-in engine --port 9500 --options "{ versions: [v1], timings: { stepMs: 5 } }"',
    '<%= config.bin %> stand-in cloud --port 9402 --options "{ domains: [attica-1, attica-2], serviceTeams: [case-registry] }"'
  ]

  static override args = {
    kind: Args.string({ description: 'Kind of service to simulate.', required: true, options: Object.keys(standIns) })
  }

  static override flags = {
    host: Flags.string({ description: 'Address to listen at.', default: '127.0.0.1' }),
    port: Flags.integer({ description: 'Port to listen at; 0 selects a free port.', default: 0, min: 0, max: 65_535 }),
    options: Flags.string({ description: 'Options of the stand-in as YAML.', default: '{}' })
  }

  async run (): Promise<void> {
    const { args, flags } = await this.parse(StandIn)
    const options = this.unwrap(readStandInOptions(flags.options))
    const start = standIns[args.kind as StandInKind] as StartStandIn
    const running = await start({ ...options, host: flags.host, port: flags.port }).catch((error: Error) => {
      throw createError('ArgumentWrong', { argument: `The stand-in at ${flags.host}:${flags.port}`, problem: `can't start (${error.message})` })
    })
    this.log(`${args.kind} at ${running.url}${running.controlUrl === undefined ? '' : `, control API for faults and counts at ${running.controlUrl}`}`)
    await waitForStopSignal()
    await running.close()
  }
}
