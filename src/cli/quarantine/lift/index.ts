import { Args } from '@oclif/core'
import { BaseCommand } from '../../base-command.ts'
import { toStoredRecord } from '../../../core/quarantine/index.ts'
import { storeFlags, withStore } from '../../store-flags.ts'
import { liftRecords } from '../records.ts'

export default class QuarantineLift extends BaseCommand {
  static override summary = 'Let a request, or prompts with a part, through again.'
  static override description = 'Use it after the cause of the crashes was removed. All nodes follow within seconds; if backend servers crash again, the quarantine returns. ' +
    'Exit codes: 0 lifted, or no quarantine has the part, 2 usage, 4 conflict, 6 unknown whether it was written, 7 the key-value service did not respond.'

  static override examples = ['<%= config.bin %> quarantine lift 91bd3f06c2a4e870']
  static override enableJsonFlag = true
  static override args = { part: Args.string({ description: 'The digest of the request or a part of the prompts, as "quarantine list" shows it.', required: true }) }
  static override flags = storeFlags

  async run (): Promise<Array<ReturnType<typeof toStoredRecord>>> {
    const { args, flags } = await this.parse(QuarantineLift)
    return await withStore(flags, async ({ store, clock, deadlineAtMs }) => {
      const lifted = this.unwrap(await liftRecords(store, args.part, { nowMs: clock.wallMs(), deadlineAtMs }))
      this.log(lifted.length === 0 ? `No quarantine has the part ${args.part}.` : `Lifted: ${lifted.map(({ service, features }) => `${service} ${features.join(' ')}`).join('; ')}`)
      return lifted.map(toStoredRecord)
    })
  }
}
