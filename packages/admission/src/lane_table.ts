import type {LengthClassSettings} from '@parsleywood/schema/settings';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {ClassLane} from './class_lane.js';

/** The lanes by model and length class. */
export class LaneTable {
  private readonly lanes = new Map<string, Map<string, ClassLane>>();

  constructor(
    private classes: readonly LengthClassSettings[],
    private readonly random: RandomGenerator,
  ) {}

  /** The lanes of each model that was ever asked for. */
  byModel(): ClassLane[][] {
    return [...this.lanes.values()].map(lanes => [...lanes.values()]);
  }

  lane(model: string, lengthClass: string): ClassLane {
    const lanes = this.lanes.get(model) ?? new Map<string, ClassLane>();
    this.lanes.set(model, lanes);
    let lane = lanes.get(lengthClass);
    if (!lane) {
      lane = new ClassLane(this.settingsOf(lengthClass), this.random);
      lanes.set(lengthClass, lane);
    }
    return lane;
  }

  setClasses(classes: readonly LengthClassSettings[]): void {
    this.classes = classes;
    for (const lanes of this.lanes.values()) {
      for (const [name, lane] of lanes) lane.setSettings(this.settingsOf(name));
    }
  }

  private settingsOf(name: string): LengthClassSettings {
    const found = this.classes.find(({name: other}) => other === name);
    const settings = found ?? this.classes[this.classes.length - 1];
    if (!settings) throw new RangeError('settings have no length class');
    return settings;
  }
}
