import type {LengthClassSettings} from '@parsleywood/schema/settings';

/**
 * The configured length classes of prompts, in ascending order of their upper
 * bounds.
 */
export class LengthClasses {
  private readonly bounds: readonly number[];

  constructor(
    private readonly classes: readonly [
      LengthClassSettings,
      ...LengthClassSettings[],
    ],
  ) {
    this.bounds = classes.map(lengthClass => lengthClass.upToTokens);
  }

  get size(): number {
    return this.classes.length;
  }

  /**
   * Index of the class of a prompt with this many tokens; longer ones than all
   * bounds get the last class.
   */
  indexOf(tokens: number): number {
    const index = this.bounds.findIndex(bound => tokens <= bound);
    return index < 0 ? this.classes.length - 1 : index;
  }

  /** Index of the class with this name; undefined when there is none. */
  indexOfName(name: string): number | undefined {
    const index = this.classes.findIndex(
      lengthClass => lengthClass.name === name,
    );
    return index < 0 ? undefined : index;
  }

  /** The class at an index; an index past the end gives the last class. */
  at(index: number): LengthClassSettings {
    return (
      this.classes[index] ??
      this.classes[this.classes.length - 1] ??
      this.classes[0]
    );
  }

  /** The class of a prompt with this many tokens. */
  findClass(tokens: number): LengthClassSettings {
    return this.at(this.indexOf(tokens));
  }
}
