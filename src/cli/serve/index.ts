import { once } from 'node:events'
import { Flags } from '@oclif/core'
import { createError } from '../../core/errors/index.ts'
import { createLog } from '../../core/log/index.ts'
import { createNode } from '../../core/node/index.ts'
import type { Node, NodeOptions } from '../../core/node/index.ts'
import { loadNodeSettings } from '../../core/settings/index.ts'
import { BaseCommand } from '../base-command.ts'
import { listenForDrainSignal } from './drain-signal.ts'

/** Starts the node. Throws `ListenFailed` when it can't bind one of its addresses. */
async function startNode (options: NodeOptions): Promise<Node> {
  try {
    return await createNode(options)
  } catch (error) {
    const { code, message } = error as NodeJS.ErrnoException
    if (code !== 'EADDRINUSE' && code !== 'EADDRNOTAVAIL' && code !== 'EACCES') throw error
    throw createError('ListenFailed', { cause: message }, { cause: error })
  }
}

export default class Serve extends BaseCommand {
  static override summary = 'Run an entry node until it receives SIGTERM or SIGINT.'
  static override description = 'Logs JSON lines to standard error. On SIGTERM or SIGINT the node drains: it reports itself as not ready immediately, ' +
    'finishes or hands over open requests, and exits within drain.maxDrainMs. Meanwhile SIGINT ends it immediately, and another SIGTERM changes nothing, as SIGHUP never does. ' +
    'Exit codes: 0 drained, 1 can\'t listen at an address, 2 usage, 3 invalid settings.'

  static override examples = [
    '<%= config.bin %> serve --config node.yaml',
    'CYCLAMENSHUNT_PEER_KEY=$(cat peer.key) <%= config.bin %> serve --config examples/association/node-attica-1.yaml'
  ]

  static override flags = {
    config: Flags.string({ char: 'c', description: 'Settings file of the node.', required: true })
  }

  async run (): Promise<void> {
    const stop = listenForDrainSignal()
    const { flags } = await this.parse(Serve)
    const settings = this.unwrap(await loadNodeSettings(flags.config))
    const { node: id, failureDomain, log: { level }, drain } = settings
    const log = createLog({ level, fields: { node: id, failureDomain } })
    if (stop.aborted) return
    const node = await startNode({ settings, log })
    if (!stop.aborted) await once(stop, 'abort')
    await node.drain(Date.now() + drain.maxDrainMs)
  }
}
